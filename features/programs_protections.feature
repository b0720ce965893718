Feature: The checks of programs fail when a protection is taken away
  A check that cannot fail shows nothing. Each protection is removed by a patch in
  the tests, and the fault runs must then break a promise at one of the seeds.

  Scenario Outline: Without "<protection>" a promise breaks
    Given the protection "<protection>" of program records is off
    When fault runs of program records start from seed <low>
    Then a check of program records fails within <count> seeds

    Examples:
      | protection               | low | count |
      | write to all             | 0   | 100   |
      | record before send       | 0   | 10    |
      | empty serves nothing     | 0   | 10    |
      | unknown stays unknown    | 0   | 10    |
      | repaired means copied    | 0   | 10    |
      | one running turn         | 0   | 10    |
      | lapsed calls are charged | 0   | 20    |
