"""The command line: it only parses arguments and calls the public interface."""

import sys
from collections.abc import Callable
from datetime import UTC, datetime
from pathlib import Path
from typing import TextIO

import anyio
import click

from burdockwall import __version__
from burdockwall.checks import check_files
from burdockwall.client import (
    InstanceMetrics,
    OperatorClient,
    create_submission,
    resolve as resolve_caller,
)
from burdockwall.errors import BurdockwallError, Code, InvalidFile, OperatorError
from burdockwall.platform.start import run_process
from burdockwall.process.control.audit import AuditFilter, AuditRecord, verify_audit
from burdockwall.process.control.commands import Outcome, Permission
from burdockwall.process.control.opening import bootstrap_replica, join_replica
from burdockwall.process.control.sections import compare_sections, split_sections
from burdockwall.process.ending import log_ending
from burdockwall.process.evacuation.operations import describe_evacuations
from burdockwall.process.logs import create_log_handler
from burdockwall.process.membership.page import FleetPage
from burdockwall.process.scheduling.explain import PlacementPage
from burdockwall.settings import Settings, read_settings
from burdockwall.trace.explanation import explain
from burdockwall.trace.lines import read_entries
from burdockwall.types import (
    Address,
    CustomerId,
    FailureDomain,
    IdempotencyKey,
    OperatorId,
    RouteName,
    Version,
)
from burdockwall.version.configuration import parse_configuration

EXIT_REFUSED = 1
EXIT_USAGE = 2
SUMMARY_CHARACTERS = 160

settings_option = click.option(
    "--settings", "settings_path", type=click.Path(path_type=Path), default=None
)
address_option = click.option(
    "--address",
    default="127.0.0.1:8081",
    help="Operator address of an instance; several are separated by commas.",
)


def operator_option(command: Callable[..., None]) -> Callable[..., None]:
    """Add the options that identify the operator."""
    name_option = click.option("--operator", default="operator", help="Your name.")
    token_option = click.option(
        "--token",
        envvar="BURDOCKWALL_TOKEN",
        expose_value=True,
        default="",
        help="Your token; better given by BURDOCKWALL_TOKEN.",
    )
    return name_option(token_option(command))


def _load_settings(path: Path | None) -> Settings:
    return read_settings(path) if path is not None else Settings()


def _get_authority() -> Path | None:
    authority: Path | None = click.get_current_context().find_root().params["authority"]
    return authority


def _create_client(address: str, operator: str = "") -> OperatorClient:
    first, *others = (Address(item.strip()) for item in address.split(","))
    context = click.get_current_context()
    return OperatorClient(
        first,
        OperatorId(operator),
        _get_authority(),
        token=context.params.get("token") or "",
        others=tuple(others),
    )


based_on_option = click.option(
    "--based-on", type=int, default=None, help="Version that the change is based on."
)


@click.group()
@click.version_option(__version__, prog_name="burdockwall")
@click.option("--debug", is_flag=True, help="Log internals, show tracebacks.")
@click.option(
    "--authority",
    type=click.Path(path_type=Path, exists=True),
    default=None,
    help="Authority of the instances' certificates (PEM); calls go over TLS.",
)
def cli(debug: bool, authority: Path | None) -> None:
    """Schedule agent programs between callers and their endpoints."""


@cli.command()
@settings_option
def serve(settings_path: Path | None) -> None:
    """Run one process until it is stopped."""
    # Imported here, so that the other commands start faster.
    from burdockwall.process.node import run_node

    settings = _load_settings(settings_path)
    if click.get_current_context().find_root().params["debug"]:
        settings.log_level = "debug"
    with create_log_handler(settings).applicationbound(), log_ending():
        anyio.run(run_node, settings, settings_path)


@cli.command()
def platform() -> None:
    """Run one process on the users' platform, with the settings named there."""
    run_process()


@cli.command()
@click.option("--lines/--no-lines", default=True, help="Show the lines themselves.")
@click.argument("name")
@click.argument("logs", type=click.Path(path_type=Path, exists=True), nargs=-1)
def trace(lines: bool, name: str, logs: tuple[Path, ...]) -> None:
    """Show from logs what happened to the request or program with an id."""
    explanation = explain(read_entries(logs, sys.stdin), name)
    if explanation is None:
        raise OperatorError(Code.NOT_LOGGED, f"no log line names {name}")
    for event in explanation.events if lines else []:
        entry = event.entry
        click.echo(f"{entry.time:%H:%M:%S.%f} {entry.instance} {event.text}")
    click.echo(explanation.verdict)


@cli.command()
@settings_option
@click.argument("configuration", type=click.Path(path_type=Path), required=False)
def check(settings_path: Path | None, configuration: Path | None) -> None:
    """Find every fault in a settings file and a configuration."""
    faults = check_files(settings_path, configuration)
    if faults:
        raise InvalidFile(faults[0].code, faults)
    click.echo("no faults")


@cli.command()
@address_option
@operator_option
@based_on_option
@click.option("--dry-run", is_flag=True, help="Show the difference and stop.")
@click.option("--submission", default=None, help="Id of a submission to resend.")
@click.argument("configuration", type=click.File("r", encoding="utf-8"))
def submit(
    address: str,
    operator: str,
    token: str,
    based_on: int | None,
    dry_run: bool,
    submission: str | None,
    configuration: TextIO,
) -> None:
    """Show the difference that a configuration makes, and submit it."""
    text = configuration.read()
    parse_configuration(text, configuration.name)
    client = _create_client(address, operator)
    current = client.read_configuration()
    difference = compare_sections(split_sections(current.text), split_sections(text))
    click.echo(difference or "no difference")
    if dry_run:
        click.echo(f"based on version {current.version}; not submitted")
        return
    submission = submission or create_submission()
    click.echo(f"submission {submission}", err=True)
    base = Version(based_on if based_on is not None else current.version)
    _show_outcome(client.submit(text, base, submission))


@cli.command()
@address_option
@operator_option
@based_on_option
@click.argument("version", type=int)
def rollback(
    address: str, operator: str, token: str, based_on: int | None, version: int
) -> None:
    """Put the configuration of an earlier version in force as a new version."""
    client = _create_client(address, operator)
    base = Version(based_on) if based_on is not None else None
    _show_outcome(client.roll_back(Version(version), base))


@cli.command("export")
@address_option
@operator_option
@click.argument("image", type=click.Path(path_type=Path))
def export_state(address: str, operator: str, token: str, image: Path) -> None:
    """Write the whole control state to a file."""
    image.write_bytes(_create_client(address, operator).export_state())


@cli.command("import")
@address_option
@operator_option
@based_on_option
@click.argument("image", type=click.Path(path_type=Path, exists=True))
def import_state(
    address: str, operator: str, token: str, based_on: int | None, image: Path
) -> None:
    """Replace the control state by an exported one."""
    base = Version(based_on) if based_on is not None else None
    client = _create_client(address, operator)
    _show_outcome(client.import_state(image.read_bytes(), base))


def _show_outcome(outcome: Outcome) -> None:
    click.echo(f"version {outcome.version}")
    if outcome.detail:
        click.echo(outcome.detail)


def _show_fleet(page: FleetPage) -> None:
    if not page.leading:
        leader = page.leader or "unknown"
        raise OperatorError(Code.NOT_LEADER, f"ask the leader, which is {leader}")
    for row in page.instances:
        click.echo(
            f"{row.instance} {row.role.value} {row.region}/{row.failure_domain} "
            f"{row.state.value} version {row.version} lease {row.lease_s:.1f} s "
            f"heard {row.silent_s:.1f} s ago"
        )
    shards = page.shards
    click.echo(
        f"shards: {shards.assigned} assigned, {shards.whole} whole, "
        f"{shards.joining} being copied, {shards.waiting} waiting, "
        f"{shards.emptied} emptied, {shards.failure_domains} failure domains"
    )


@cli.command()
@address_option
@click.option("--placements", is_flag=True, help="Show endpoints and placements too.")
@click.option("--fleet", is_flag=True, help="Show every instance, from the leader.")
@click.option("--metrics", is_flag=True, help="Show the metrics of each address.")
def status(address: str, placements: bool, fleet: bool, metrics: bool) -> None:
    """Show the status of an instance or of the fleet."""
    client = _create_client(address, "")
    if metrics:
        for item in client.read_metrics():
            _show_metrics(item)
        return
    if fleet:
        _show_fleet(client.read_fleet())
        return
    instance_status = client.read_status()
    for name in instance_status.__struct_fields__:
        click.echo(f"{name}: {getattr(instance_status, name)}")
    if placements:
        _show_placements(client.read_placements())


def _show_metrics(item: InstanceMetrics) -> None:
    metrics = item.metrics
    click.echo(
        f"{item.address}: {metrics.in_flight} in flight, "
        f"{metrics.open_streams} streams, "
        f"{metrics.body_bytes_held} bytes of bodies, "
        f"{metrics.endpoint_replacements} pools replaced"
    )
    tables = {
        "route": metrics.routes,
        "first token": metrics.first_tokens,
        "customer": metrics.customers,
        "endpoint": metrics.endpoints,
        "loop": {"lag": metrics.loop_lag},
    }
    for kind, table in tables.items():
        for name, latency in table.items():
            click.echo(
                f"  {kind} {name}: {latency.count} times, {latency.p50_ms} / "
                f"{latency.p95_ms} / {latency.p99_ms} ms (50, 95, 99 in 100), "
                f"{latency.max_ms} ms at most"
            )
    for code, count in metrics.refusals.items():
        click.echo(f"  refused with {code}: {count} times")


def _show_placements(page: PlacementPage) -> None:
    for endpoint in page.endpoints:
        click.echo(
            f"endpoint {endpoint.endpoint}: {endpoint.health}, "
            f"{endpoint.running} running, {endpoint.queued} queued, "
            f"{endpoint.others} of others, {endpoint.allowed} allowed, "
            f"slowness {endpoint.slowness}"
        )
    for placement in page.placements:
        click.echo(
            f"placed {placement.program} of {placement.customer} "
            f"on {placement.endpoint}: {placement.reason}; "
            f"level {placement.level}, waited {placement.waited_s:.3f} s"
        )


@cli.command()
@address_option
@operator_option
@click.option("--by", default=None, help="Only changes of this operator.")
@click.option("--action", default=None, help="Only this kind of change.")
@click.option(
    "--code", type=int, default=None, help="Only this code; 0 for accepted changes."
)
@click.option("--since", type=float, default=None, help="Seconds since the epoch.")
@click.option("--until", type=float, default=None, help="Seconds since the epoch.")
@click.option("--contains", default=None, help="Only differences with this text.")
@click.option(
    "--limit", type=int, default=None, help="Only this many of the latest records."
)
@click.option("--verify", is_flag=True, help="Check the chain of all records.")
@click.option("--full", is_flag=True, help="Show differences in full.")
def audit(
    address: str,
    operator: str,
    token: str,
    by: str | None,
    action: str | None,
    code: int | None,
    since: float | None,
    until: float | None,
    contains: str | None,
    limit: int | None,
    verify: bool,
    full: bool,
) -> None:
    """Show the audit trail, or verify it."""
    client = _create_client(address, operator)
    if verify:
        _verify_audit(client.read_audit().records)
        return
    audit_filter = AuditFilter(
        operator=by,
        action=action,
        code=code,
        since_s=since,
        until_s=until,
        contains=contains,
        limit=limit,
    )
    for record in client.read_audit(audit_filter).records:
        summary = _shorten(record.difference.replace("\n", " ; "), full)
        moment = datetime.fromtimestamp(record.at, UTC).isoformat(timespec="seconds")
        click.echo(
            f"{record.index} {moment} {record.operator} {record.action} "
            f"version {record.version} code {record.code} {summary}"
        )


def _shorten(summary: str, full: bool) -> str:
    if full or len(summary) <= SUMMARY_CHARACTERS:
        return summary
    return f"{summary[:SUMMARY_CHARACTERS]} ..."


def _verify_audit(records: list[AuditRecord]) -> None:
    if not records:
        click.echo("no records")
        return
    first, last = records[0], records[-1]
    is_complete = first.index == 1
    is_valid = (
        verify_audit(records) if is_complete else verify_audit(records[1:], first.chain)
    )
    if not is_valid:
        detail = "the chain is broken: a record was changed, lost or added"
        raise OperatorError(Code.AUDIT_BROKEN, detail)
    click.echo(f"records {first.index} to {last.index} hold, chain {last.chain}")
    if not is_complete:
        click.echo(f"records before {first.index} are not on this instance")


@cli.command()
@click.option("--address", default="127.0.0.1:8080", help="Caller address.")
@click.option("--failure-domain", default="", help="Failure domain to prefer.")
@click.option("--caller", default="", help="Name that spreads callers evenly.")
def resolve(address: str, failure_domain: str, caller: str) -> None:
    """Show the addresses that a caller should use."""
    resolution = resolve_caller(
        Address(address), failure_domain, caller, _get_authority()
    )
    for item in resolution.addresses:
        click.echo(f"{item.address} {item.failure_domain} {resolution.ttl_s}")


@cli.group()
def key() -> None:
    """Issue and withdraw keys."""


@key.command("issue")
@address_option
@operator_option
@click.argument("customer")
def issue_key(address: str, operator: str, token: str, customer: str) -> None:
    """Issue a key for a customer and show it once."""
    click.echo(_create_client(address, operator).issue_key(CustomerId(customer)))


@key.command("withdraw")
@address_option
@operator_option
@click.argument("key")
def withdraw_key(address: str, operator: str, token: str, key: str) -> None:
    """Withdraw a key, and wait until no instance accepts it."""
    client = _create_client(address, operator)
    outcome = client.withdraw_key(key)
    _show_outcome(outcome)
    page = client.wait_in_force(outcome.version)
    click.echo(f"confirmed by {' '.join(page.confirmed) or 'none'}")
    if page.lapsed:
        click.echo(f"waited for the leases of {' '.join(page.lapsed)}")


@cli.group("operator")
def operators() -> None:
    """Define and remove operators."""


@operators.command("define")
@address_option
@operator_option
@click.option(
    "--permission",
    "permissions",
    multiple=True,
    type=click.Choice([item.value for item in Permission]),
    required=True,
)
@click.option(
    "--customer",
    "customers",
    multiple=True,
    help="Customer whose keys it may change; all if omitted.",
)
@click.argument("name")
def define_operator(
    address: str,
    operator: str,
    token: str,
    permissions: tuple[str, ...],
    customers: tuple[str, ...],
    name: str,
) -> None:
    """Define an operator and show its token once."""
    client = _create_client(address, operator)
    new_token = client.define_operator(
        OperatorId(name),
        tuple(Permission(item) for item in permissions),
        tuple(CustomerId(item) for item in customers),
    )
    click.echo(new_token)


@operators.command("remove")
@address_option
@operator_option
@click.argument("name")
def remove_operator(address: str, operator: str, token: str, name: str) -> None:
    """Remove an operator."""
    _show_outcome(_create_client(address, operator).remove_operator(OperatorId(name)))


@cli.group()
def control() -> None:
    """Create, join, show and remove replicas of the control state."""


@control.command("bootstrap")
@settings_option
def bootstrap(settings_path: Path | None) -> None:
    """Create a new cluster in the data folder, on its first instance."""
    identity = bootstrap_replica(_load_settings(settings_path))
    click.echo(f"replica {identity.voter} of a new cluster")


@control.command("join")
@settings_option
def join(settings_path: Path | None) -> None:
    """Create a replica that joins the cluster when the instance starts to serve."""
    identity = join_replica(_load_settings(settings_path))
    click.echo(f"replica {identity.voter} joins when it is served")


@control.command("show")
@address_option
def show_replica(address: str) -> None:
    """Show an instance's replica and the members of the cluster."""
    replica = _create_client(address).read_replica()
    for name in replica.__struct_fields__:
        if name != "members":
            click.echo(f"{name}: {getattr(replica, name)}")
    for member in replica.members:
        kind = "voter" if member.voting else "learner"
        click.echo(f"{kind}: {member.voter} on {member.instance}")


@control.command("remove")
@address_option
@operator_option
@click.argument("replica")
def remove_replica(address: str, operator: str, token: str, replica: str) -> None:
    """Remove a replica that won't come back."""
    _create_client(address, operator).remove_replica(replica)
    click.echo(f"removed {replica}")


@cli.group()
def unknown() -> None:
    """List and settle requests that may or may not have run."""


@unknown.command("list")
@address_option
@operator_option
def list_unknowns(address: str, operator: str, token: str) -> None:
    """List the requests that may or may not have run."""
    page = _create_client(address, operator).list_unknowns()
    for item in page.items:
        click.echo(
            f"{item.customer} {item.route} {item.key}: {item.method} {item.path}, "
            f"sent by {item.owner} {item.age_s:.0f} s ago, request {item.request}"
        )
    if page.unheard:
        click.echo(f"{page.unheard} shards did not answer")


@unknown.command("settle")
@address_option
@operator_option
@click.option("--ran/--not-run", required=True, help="What the service says.")
@click.option("--note", default="", help="How the outcome was determined.")
@click.argument("customer")
@click.argument("route")
@click.argument("key")
def settle_unknown(
    address: str,
    operator: str,
    token: str,
    ran: bool,
    note: str,
    customer: str,
    route: str,
    key: str,
) -> None:
    """Record whether a request with an unknown outcome has run."""
    client = _create_client(address, operator)
    request = CustomerId(customer), RouteName(route), IdempotencyKey(key)
    client.settle_unknown(*request, ran, note)
    click.echo("settled")


@cli.command()
@address_option
@operator_option
@click.option("--end", is_flag=True, help="Use the domain again.")
@click.argument("domain")
def evacuate(address: str, operator: str, token: str, end: bool, domain: str) -> None:
    """Send nothing more to the endpoints of a failure domain."""
    client = _create_client(address, operator)
    evacuations = client.evacuate(FailureDomain(domain), end)
    click.echo("\n".join(describe_evacuations(evacuations)) or "nothing is evacuated")


@cli.command()
@address_option
@operator_option
def drain(address: str, operator: str, token: str) -> None:
    """Ask an instance to leave gracefully."""
    _create_client(address, operator).drain()
    click.echo("leaving")


def main() -> None:
    """Run the command line and end the process with its exit code."""
    if "--debug" in sys.argv[1:]:
        cli(standalone_mode=False)
        return
    try:
        cli(standalone_mode=False)
    except InvalidFile as error:
        for fault in error.faults:
            click.echo(str(fault), err=True)
        sys.exit(EXIT_REFUSED)
    except BurdockwallError as error:
        click.echo(str(error), err=True)
        sys.exit(EXIT_REFUSED)
    except click.ClickException as error:
        error.show()
        sys.exit(EXIT_USAGE)
