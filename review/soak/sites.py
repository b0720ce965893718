"""The sites of the soak, with as many machines as the sheets have."""

from review.standin.site import Shape

NAFWALL = Shape(fronts=9, controls=5, stores=3)
ARMORIQUE = Shape(
    fronts=6,
    controls=5,
    stores=3,
    zones=("rennes-a", "rennes-b", "brest-c"),
    region="bretagne",
)
KOCHI = Shape(
    fronts=7,
    controls=5,
    stores=4,
    zones=("kochi-a", "kochi-b", "tvm-a", "kzd-a"),
    region="kerala",
)
SITES = (ARMORIQUE, KOCHI, NAFWALL)
