"""A demonstration: one process with a fake engine runs one agent program."""

import time

import anyio
import click
import httpx

from burdockwall.fakes.site import CUSTOMER, run_site, wait_for_version
from burdockwall.request.completion import join_answer

PROGRAM = "inspection-1"
QUESTIONS = (
    "What does the hood at the grill need?",
    "And the duct run behind it?",
    "Draft the certificate.",
)


async def request_turn(
    client: httpx.AsyncClient, key: str, number: int, question: str
) -> str:
    """Request one turn of the program and print its answer as it streams."""
    headers = {
        "authorization": f"Bearer {key}",
        "program-id": PROGRAM,
        "program-turn": str(number),
    }
    body = {
        "model": "inspector",
        "messages": [{"role": "user", "content": question}],
        "stream": True,
    }
    click.echo(f"turn {number}: {question}\n  ", nl=False)
    received = b""
    async with client.stream(
        "POST", "/v1/chat/completions", headers=headers, json=body
    ) as response:
        response.raise_for_status()
        async for chunk in response.aiter_raw():
            received += chunk
            click.echo(join_answer(chunk), nl=False)
    click.echo()
    return join_answer(received)


async def file_certificate(client: httpx.AsyncClient, key: str) -> None:
    """File the certificate twice under the same idempotency key."""
    headers = {"authorization": f"Bearer {key}", "idempotency-key": "certificate-1"}
    for label in ("filing", "resent"):
        response = await client.post("/filings", headers=headers, content=b"kitchen 7")
        click.echo(f"{label}: {response.status_code} {response.text}")


async def call_tool(client: httpx.AsyncClient, key: str) -> None:
    """Call a tool as a part of the program."""
    headers = {"authorization": f"Bearer {key}", "program-id": PROGRAM}
    response = await client.get("/stock/filters", headers=headers)
    click.echo(f"tool: {response.status_code} {response.text}")


async def show_program(client: httpx.AsyncClient, key: str) -> None:
    """Print the number of turns and messages of the program, and its budget."""
    headers = {"authorization": f"Bearer {key}"}
    response = await client.get(f"/v1/programs/{PROGRAM}", headers=headers)
    page = response.json()
    click.echo(f"program: turn {page['turn']}, {len(page['history'])} messages")
    spent, budget = page["spent"], page["budget"]
    click.echo(
        f"budget: {spent['tokens']} of {budget['tokens']} tokens, "
        f"{spent['calls']} of {budget['calls']} calls"
    )


async def run_demo() -> None:
    """Run the demonstration and print each step."""
    async with run_site() as site:
        key = await anyio.to_thread.run_sync(site.operator.issue_key, CUSTOMER)
        await wait_for_version(site.node, 2)
        base = f"http://{site.node.settings.caller_address}"
        started = time.monotonic()
        async with httpx.AsyncClient(base_url=base, trust_env=False) as client:
            resolution = await client.get("/v1/resolve")
            click.echo(f"resolve: {resolution.json()['addresses'][0]['address']}")
            for number, question in enumerate(QUESTIONS, 1):
                await request_turn(client, key, number, question)
                if number == 1:
                    await call_tool(client, key)
            await file_certificate(client, key)
            click.echo(f"program latency: {time.monotonic() - started:.2f} s")
            await show_program(client, key)
        page = await anyio.to_thread.run_sync(site.operator.read_audit)
        for record in page.records:
            click.echo(
                f"audit: {record.index} {record.operator} {record.action} "
                f"version {record.version}"
            )


def main() -> None:
    """Run the demonstration."""
    anyio.run(run_demo)


if __name__ == "__main__":
    main()
