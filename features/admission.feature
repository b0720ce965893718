Feature: Admission and overload
  Under overload jobs are refused early, before they run, and the least urgent first.

  Scenario: Admission sheds the lowest class first
    Given an admission queue of 20 places
    When 20 admission jobs of class low wait for customer a
    And 10 admission jobs of class urgent wait for customer a
    Then 10 admission jobs of class urgent and 10 of class low still wait
    And every displaced admission job was the newest of its class

  Scenario: Admission keeps a reserve for every class
    Given an admission queue of 20 places
    When 4 admission jobs of class low wait for customer a
    And 60 admission jobs of class urgent wait for customer a
    Then 18 admission jobs of class urgent and 2 of class low still wait
    And each refused admission job has a time to retry after

  Scenario: Admission gives a customer its fair share of a full queue
    Given an admission queue of 20 places
    When 40 admission jobs of class normal wait for customer a
    And 10 admission jobs of class normal wait for customer b
    Then customers a and b hold 10 admission places each

  Scenario: Admission refuses at once a deadline that cannot be met
    Given an admission queue of 500 places
    When 100 admission jobs of class normal wait for customer a
    And admission jobs start at 10 a second for 2 s
    And an admission job of customer a has a deadline in 3 s
    Then that admission job is refused for its deadline within 0.1 s
    But an admission job of customer b with a deadline in 3 s may wait

  Scenario: Admission sheds a waiting job once it cannot meet its deadline
    Given an admission queue of 500 places
    When 50 admission jobs of class normal wait for customer a
    And admission jobs start at 20 a second for 1 s
    And an admission job of customer a has a deadline in 3 s
    And 200 admission jobs of class urgent wait for customer b
    Then a review sheds that admission job at least 2.5 s before its deadline

  Scenario Outline: Admission behind limits keeps the latency of others, seed <seed>
    When customer a sends 4 times its rate towards an admission queue with seed <seed>
    Then the others' admission latency at p95 is at most 1.3 times that without overload
    And the others lose no more admission jobs than without overload

    Examples:
      | seed |
      | 1    |
      | 2    |
      | 3    |
