"""Child processes that start without blocking the event loop."""

from __future__ import annotations

import asyncio
import os
import subprocess
import sys
from typing import IO, Any

from tests.support.loader import ROOT


class ChildProcess:
    """
    A Python module that runs as a child process.

    :param popen: the started process.
    """

    def __init__(self, popen: subprocess.Popen[bytes]) -> None:
        self._popen = popen
        self._exited = asyncio.Event()
        self._descriptor = os.pidfd_open(popen.pid)
        asyncio.get_running_loop().add_reader(self._descriptor, self._handle_exit)

    @classmethod
    async def start(
        cls, module: str, *arguments: str, log: IO[Any], errors: IO[Any] | None = None
    ) -> ChildProcess:
        """
        Start ``python -m module``.

        On a busy machine a child can take a second to begin, during which
        ``asyncio.create_subprocess_exec`` would block every other task.

        :param log: file that receives the standard output.
        :param errors: file that receives the standard error; that of this
            process if ``None``.
        """
        popen = await asyncio.to_thread(
            subprocess.Popen,
            [sys.executable, "-m", module, *arguments],
            cwd=ROOT,
            stdout=log,
            stderr=errors,
            # With a preexec_fn, subprocess does not use vfork, which would
            # suspend this process until the child runs.
            preexec_fn=_do_nothing,
        )
        return cls(popen)

    @property
    def pid(self) -> int:
        """Process id."""
        return self._popen.pid

    @property
    def returncode(self) -> int | None:
        """Exit status, or ``None`` while the process runs."""
        return self._popen.returncode

    def kill(self) -> None:
        """Kill the process with SIGKILL."""
        self._popen.kill()

    async def wait(self) -> int:
        """Wait until the process exits; return its exit status."""
        await self._exited.wait()
        return self._popen.wait()

    def _handle_exit(self) -> None:
        asyncio.get_running_loop().remove_reader(self._descriptor)
        os.close(self._descriptor)
        self._popen.wait()
        self._exited.set()


def _do_nothing() -> None:
    pass
