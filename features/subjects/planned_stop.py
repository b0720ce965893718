"""Callers that use their open connections while an instance is stopped."""

import threading
import time

import httpx

from features.subjects.platform import CALL_TIMEOUT_S, HOST, PlatformSite

# More than a caller sends until the instance has stopped.
MOST_CALLS = 1000


class PersistentCallers:
    """Callers that use their open connections until the instance is gone."""

    def __init__(self, site: PlatformSite) -> None:
        self.site = site
        self.answered: set[str] = set()
        self.after_stop = 0
        self._stopping = False

    def run(self, count: int, before_s: float) -> None:
        """Run `count` callers, and stop instance 1 after `before_s`."""
        callers = [
            threading.Thread(target=self._call, args=(number,))
            for number in range(count)
        ]
        for caller in callers:
            caller.start()
        time.sleep(before_s)
        self.site.stop_entry(1)
        self._stopping = True
        for caller in callers:
            caller.join()

    def _call(self, caller: int) -> None:
        address = self.site.entries[0].settings.caller_address
        base = f"http://{address}"
        with httpx.Client(base_url=base, trust_env=False) as client:
            for number in range(MOST_CALLS):
                request = f"{caller:08x}{number:08x}"
                headers = {"host": HOST, "x-api-key": "key-one"}
                headers |= {"x-request-id": request, "x-deadline-ms": "3000"}
                try:
                    client.get("/tool/1", headers=headers, timeout=CALL_TIMEOUT_S)
                except httpx.HTTPError:
                    return
                self.answered.add(request)
                self.after_stop += self._stopping

    def list_unanswered(self) -> list[str]:
        """List the requests that a tool server received and no answer came to."""
        received = {
            request.headers["x-request-id"]
            for tool in self.site.tools
            for request in tool.received_requests
        }
        return sorted(received - self.answered)
