"""Parse the command line and call the public interface; do nothing else."""

import sys
from pathlib import Path

import anyio
import click

from burdockwall import __version__
from burdockwall.client import OperatorClient, resolve as resolve_caller
from burdockwall.errors import BurdockwallError, InvalidFile
from burdockwall.process.control.commands import Outcome
from burdockwall.process.logs import create_log_handler
from burdockwall.process.node import run_node
from burdockwall.settings import Settings, read_settings
from burdockwall.types import Address, CustomerId, OperatorId, Version
from burdockwall.version.configuration import parse_configuration

EXIT_REFUSED = 1
EXIT_USAGE = 2

settings_option = click.option(
    "--settings", "settings_path", type=click.Path(path_type=Path), default=None
)
address_option = click.option(
    "--address", default="127.0.0.1:8081", help="Operator address of an instance."
)
operator_option = click.option("--operator", default="operator", help="Your name.")


def _load_settings(path: Path | None) -> Settings:
    return read_settings(path) if path is not None else Settings()


def _create_client(address: str, operator: str) -> OperatorClient:
    return OperatorClient(Address(address), OperatorId(operator))


@click.group()
@click.version_option(__version__, prog_name="burdockwall")
def cli() -> None:
    """Schedule agent programs between callers and their endpoints."""


@cli.command()
@settings_option
def serve(settings_path: Path | None) -> None:
    """Run one process until it is told to stop."""
    settings = _load_settings(settings_path)
    with create_log_handler(settings).applicationbound():
        anyio.run(run_node, settings)


@cli.command()
@settings_option
@click.argument("configuration", type=click.Path(path_type=Path), required=False)
def check(settings_path: Path | None, configuration: Path | None) -> None:
    """Find every fault in a settings file and a configuration."""
    _load_settings(settings_path)
    if configuration is not None:
        parse_configuration(configuration.read_text("utf-8"), str(configuration))
    click.echo("no faults")


@cli.command()
@address_option
@operator_option
@click.option("--based-on", type=int, default=None, help="Version it replaces.")
@click.argument("configuration", type=click.File("r", encoding="utf-8"))
def submit(
    address: str, operator: str, based_on: int | None, configuration: click.File
) -> None:
    """Submit a configuration."""
    base = Version(based_on) if based_on is not None else None
    text: str = configuration.read()  # type: ignore[attr-defined]
    outcome = _create_client(address, operator).submit(text, base)
    _show_outcome(outcome)


def _show_outcome(outcome: Outcome) -> None:
    click.echo(f"version {outcome.version}")
    if outcome.detail:
        click.echo(outcome.detail)


@cli.command()
@address_option
def status(address: str) -> None:
    """Show the status of an instance."""
    shown = _create_client(address, "").read_status()
    for name in shown.__struct_fields__:
        click.echo(f"{name}: {getattr(shown, name)}")


@cli.command()
@address_option
def audit(address: str) -> None:
    """Show the audit trail."""
    for record in _create_client(address, "").read_audit().records:
        summary = record.difference.replace("\n", " ; ")
        click.echo(
            f"{record.index} {record.operator} {record.action} "
            f"version {record.version} code {record.code} {summary}"
        )


@cli.command()
@click.option("--address", default="127.0.0.1:8080", help="Caller address.")
@click.option("--failure-domain", default="", help="Failure domain to prefer.")
@click.option("--caller", default="", help="Name that spreads callers evenly.")
def resolve(address: str, failure_domain: str, caller: str) -> None:
    """Show the addresses that a caller should use."""
    resolution = resolve_caller(Address(address), failure_domain, caller)
    for item in resolution.addresses:
        click.echo(f"{item.address} {item.failure_domain} {resolution.ttl_s}")


@cli.group()
def key() -> None:
    """Issue and withdraw keys."""


@key.command("issue")
@address_option
@operator_option
@click.argument("customer")
def issue_key(address: str, operator: str, customer: str) -> None:
    """Issue a key for a customer and show it once."""
    click.echo(_create_client(address, operator).issue_key(CustomerId(customer)))


@key.command("withdraw")
@address_option
@operator_option
@click.argument("key")
def withdraw_key(address: str, operator: str, key: str) -> None:
    """Withdraw a key."""
    _show_outcome(_create_client(address, operator).withdraw_key(key))


@cli.command()
@address_option
def drain(address: str) -> None:
    """Ask an instance to leave gracefully."""
    _create_client(address, "").drain()
    click.echo("leaving")


def main() -> None:
    """Run the command line and end the process with its exit code."""
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
