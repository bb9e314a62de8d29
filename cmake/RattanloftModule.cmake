# rattanloft_module(NAME DEPS...): a static library from modules/NAME, and one
# test program from modules/NAME/tests/*Test.cpp. Each modules/NAME/tests/*Bench.cpp
# becomes an executable of its own, which ctest does not run.
function(rattanloft_module NAME)
  set(root ${CMAKE_SOURCE_DIR}/modules/${NAME})
  file(GLOB sources CONFIGURE_DEPENDS ${root}/src/*.cpp)
  set(target rattanloft_${NAME})
  if(NOT sources AND NOT NAME STREQUAL wire)
    # Headers only until its first source file lands.
    add_library(${target} INTERFACE)
    target_include_directories(${target} INTERFACE ${root}/include)
    target_link_libraries(${target} INTERFACE rattanloft_options ${ARGN})
    return()
  endif()
  add_library(${target} STATIC ${sources})
  set_target_properties(${target} PROPERTIES LINKER_LANGUAGE CXX)
  target_include_directories(${target} PUBLIC ${root}/include
                             PRIVATE ${root}/src)
  target_link_libraries(${target} PUBLIC rattanloft_options ${ARGN})
  # Benchmarks are run by hand, each a program named like its file.
  file(GLOB benches CONFIGURE_DEPENDS ${root}/tests/*Bench.cpp
       ${root}/bench/*Bench.cpp)
  foreach(bench IN LISTS benches)
    get_filename_component(program ${bench} NAME_WE)
    add_executable(${program} ${bench})
    target_include_directories(${program} PRIVATE ${root}/src ${root}/tests)
    target_link_libraries(${program} PRIVATE ${target})
  endforeach()
  file(GLOB tests CONFIGURE_DEPENDS ${root}/tests/*Test.cpp)
  # Simulations and the like that several tests share.
  file(GLOB harness CONFIGURE_DEPENDS ${root}/tests/*.cpp)
  list(FILTER harness EXCLUDE REGEX "(Test|Bench)\\.cpp$")
  if(tests AND RATTANLOFT_BUILD_TESTS)
    add_executable(${NAME}_tests ${tests} ${harness})
    target_include_directories(${NAME}_tests PRIVATE ${root}/src ${root}/tests)
    target_link_libraries(${NAME}_tests PRIVATE ${target} rattanloft_test_main)
    add_test(NAME ${NAME} COMMAND ${NAME}_tests)
    set_tests_properties(${NAME} PROPERTIES TIMEOUT 300)
  endif()
endfunction()
