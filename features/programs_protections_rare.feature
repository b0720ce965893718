Feature: The checks of programs fail when a rarer protection is taken away
  A check that cannot fail shows nothing. Each protection is removed by a patch in
  the tests, and the fault runs must then break a promise at one of the seeds.

  Scenario Outline: Without "<protection>" a promise breaks
    Given the protection "<protection>" of program records is off
    When fault runs of program records start from seed <low>
    Then a check of program records fails within <count> seeds

    Examples:
      | protection               | low | count |
      | not run is known         | 0   | 50    |
      | act under a lease        | 0   | 400   |
