Feature: The checks of program records fail without a rarely needed protection
  A check that cannot fail proves nothing. Each protection is removed by a patch in
  the tests, and the fault runs must then violate an invariant at one of the seeds.

  Scenario Outline: Without "<protection>" an invariant is violated
    Given the protection "<protection>" of program records is off
    When fault runs of program records start from seed <low>
    Then a check of program records fails within <count> seeds

    Examples:
      | protection             | low | count |
      | not run is certain     | 0   | 50    |
      | act only under a lease | 0   | 400   |
