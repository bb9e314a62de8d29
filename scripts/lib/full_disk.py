"""Simulates a full disk for one process."""

import resource


def set_disk_full(pid, is_full):
    """Lets the writes of the process to files fail, or succeed again.

    A limit on the size of files stands for the full disk. The process must
    ignore SIGXFSZ, which ends it otherwise; a child of Python does if it was
    started with restore_signals=False.
    """
    hard_limit = resource.getrlimit(resource.RLIMIT_FSIZE)[1]
    resource.prlimit(pid, resource.RLIMIT_FSIZE,
                     (0 if is_full else hard_limit, hard_limit))
