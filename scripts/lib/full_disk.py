"""Simulates a full disk for one process."""

import resource


def set_disk_full(pid, is_full):
    """Lets the writes of the process to files fail, or succeed again.

    A limit on the size of files stands for the full disk. The process must
    ignore SIGXFSZ, which ends it otherwise; a child of Python does if it was
    started with restore_signals=False.
    """
    limit_file_size(pid, 0 if is_full else None)


def limit_file_size(pid, max_bytes):
    """Lets a write fail that would make a file larger, after it has written what
    fits; None for no limit. See set_disk_full()."""
    hard_limit = resource.getrlimit(resource.RLIMIT_FSIZE)[1]
    resource.prlimit(pid, resource.RLIMIT_FSIZE,
                     (hard_limit if max_bytes is None else max_bytes, hard_limit))
