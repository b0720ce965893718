import random

from behave import then, when

from burdockwall.process.control.sections import join_sections, split_sections
from burdockwall.types import (
    Address,
    CustomerId,
    EndpointId,
    PoolName,
    Version,
)
from burdockwall.version.configuration import (
    Configuration,
    Customer,
    Endpoint,
    Pool,
    print_configuration,
)
from burdockwall.version.view import ViewBuilder, build_view


def create_text(generator: random.Random) -> str:
    pools = tuple(Pool(PoolName(f"pool-{n}")) for n in range(generator.randint(1, 3)))
    return print_configuration(
        Configuration(
            customers=tuple(
                Customer(CustomerId(f"customer-{n}"), generator.randint(1, 3))
                for n in range(generator.randint(0, 6))
            ),
            pools=pools,
            endpoints=tuple(
                Endpoint(
                    EndpointId(f"e-{n}"), generator.choice(pools).name, Address("a:1")
                )
                for n in range(generator.randint(0, 4))
            ),
        )
    )


@when("{count:d} view changes are built from seed {seed:d}")
def step_build_views(context, count, seed):
    generator = random.Random(seed)
    builder = ViewBuilder()
    context.views = []
    for version in range(1, count + 1):
        text = create_text(generator)
        if generator.random() < 0.1:
            text = "[DEFAULT]\n" + text
        sections = split_sections(text)
        built = builder.build(Version(version), sections, {})
        expected = build_view(Version(version), join_sections(sections), {})
        context.views.append((built, expected))


@then("each view equals the one parsed from the whole text")
def step_compare_views(context):
    assert context.views
    for built, expected in context.views:
        assert built == expected, (built, expected)
