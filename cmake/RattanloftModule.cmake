# rattanloft_module(NAME DEPS...) defines the static library rattanloft_NAME
# from modules/NAME/src, linked with DEPS, and the test program NAME_tests from
# modules/NAME/tests/*Test.cpp. Each *Bench.cpp in modules/NAME/bench or tests
# becomes an executable of its own, which ctest does not run.
function(rattanloft_module NAME)
  set(module_dir ${CMAKE_SOURCE_DIR}/modules/${NAME})
  file(GLOB library_sources CONFIGURE_DEPENDS ${module_dir}/src/*.cpp)
  set(target rattanloft_${NAME})
  if(NOT library_sources AND NOT NAME STREQUAL wire)
    # A module without source files is a header-only library.
    add_library(${target} INTERFACE)
    target_include_directories(${target} INTERFACE ${module_dir}/include)
    target_link_libraries(${target} INTERFACE rattanloft_options ${ARGN})
    return()
  endif()
  add_library(${target} STATIC ${library_sources})
  set_target_properties(${target} PROPERTIES LINKER_LANGUAGE CXX)
  target_include_directories(${target} PUBLIC ${module_dir}/include
                             PRIVATE ${module_dir}/src)
  target_link_libraries(${target} PUBLIC rattanloft_options ${ARGN})
  # Each benchmark is a program named like its file, to be run by hand.
  file(GLOB bench_sources CONFIGURE_DEPENDS ${module_dir}/tests/*Bench.cpp
       ${module_dir}/bench/*Bench.cpp)
  foreach(bench_source IN LISTS bench_sources)
    get_filename_component(program ${bench_source} NAME_WE)
    add_executable(${program} ${bench_source})
    target_include_directories(${program} PRIVATE ${module_dir}/src
                                                  ${module_dir}/tests)
    target_link_libraries(${program} PRIVATE ${target})
  endforeach()
  file(GLOB test_sources CONFIGURE_DEPENDS ${module_dir}/tests/*Test.cpp)
  # Other files in tests/ are simulations and fixtures that several tests share.
  file(GLOB test_support_sources CONFIGURE_DEPENDS ${module_dir}/tests/*.cpp)
  list(FILTER test_support_sources EXCLUDE REGEX "(Test|Bench)\\.cpp$")
  if(test_sources AND RATTANLOFT_BUILD_TESTS)
    add_executable(${NAME}_tests ${test_sources} ${test_support_sources})
    target_include_directories(
      ${NAME}_tests PRIVATE ${module_dir}/src ${module_dir}/tests
                            ${module_dir}/bench)
    target_link_libraries(${NAME}_tests PRIVATE ${target} rattanloft_test_main)
    add_test(NAME ${NAME} COMMAND ${NAME}_tests)
    set_tests_properties(${NAME} PROPERTIES TIMEOUT 300)
  endif()
endfunction()
