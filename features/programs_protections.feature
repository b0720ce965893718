Feature: The checks of program records fail without a protection
  A check that cannot fail proves nothing. Each protection is removed by a patch in
  the tests, and the fault runs must then violate an invariant at one of the seeds.

  Scenario Outline: Without "<protection>" an invariant is violated
    Given the protection "<protection>" of program records is off
    When fault runs of program records start from seed <low>
    Then a check of program records fails within <count> seeds

    Examples:
      | protection                | low | count |
      | write to all              | 0   | 100   |
      | record before send        | 0   | 10    |
      | no serving without a copy | 0   | 10    |
      | unknown is not run again  | 0   | 10    |
      | backup only after a copy  | 0   | 10    |
      | one running turn          | 0   | 10    |
      | expired calls are charged | 0   | 20    |
