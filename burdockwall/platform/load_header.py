"""Reader of the header in which a server reports its load."""

from burdockwall.connection.exchange import Headers
from burdockwall.platform.names import SERVER_LOAD
from burdockwall.process.scheduling.balance import ReportedLoad
from burdockwall.process.scheduling.load_figures import parse_figures

# A report that is shown in the log is cut to this length.
SHOWN_CHARACTERS = 80


def read_load(headers: Headers) -> tuple[ReportedLoad | None, str | None]:
    """Return the reported load, or the text that can't be read; both may be None."""
    values = [value for name, value in headers if name == SERVER_LOAD]
    if not values:
        return None, None
    load = parse_figures(values[0]) if len(values) == 1 else None
    if load is not None:
        return load, None
    return None, b"; ".join(values)[:SHOWN_CHARACTERS].decode("latin-1")
