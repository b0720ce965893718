Feature: Order of calls that wait for an endpoint
  Priority classes are strict, no class starves, and programs with the least service
  come first.

  Scenario: An urgent call overtakes all others
    Given a scheduler of one endpoint with 1 place
    When scheduler calls "chat=low lot=normal release=high ping=urgent" are queued behind a running one
    And the scheduler's endpoint ends 4 calls
    Then the scheduler has started "running ping release lot chat" in this order

  Scenario: An abandoned call leaves the queue at once
    Given a scheduler of one endpoint with 1 place
    When scheduler calls "one two three" are queued behind a running one
    And the scheduler's queued call "two" is abandoned
    And the scheduler's endpoint ends 2 calls
    Then the scheduler has started "running one three" in this order

  Scenario: Without the removal of abandoned calls, the check would fail
    Given a scheduler that ignores abandonment, with 1 place
    When scheduler calls "one two three" are queued behind a running one
    And the scheduler's queued call "two" is abandoned
    And the scheduler's endpoint ends 2 calls
    Then the scheduler has started "running one two" in this order

  Scenario: A low priority class does not starve
    Given a scheduler of one endpoint with 1 place
    When urgent scheduler calls keep arriving while a low one waits
    Then the scheduler has started the low call within its ageing bound

  Scenario: Without the ageing bound, a low priority class starves
    Given a scheduler of one endpoint with 1 place and no ageing
    When urgent scheduler calls keep arriving while a low one waits
    Then the scheduler has never started the low call

  Scenario: A program with little service comes before one with much
    Given a scheduler of one endpoint with 1 place
    When a scheduler program of 5 calls competes with new programs
    Then the scheduler serves the new program first

  Scenario: A customer with many calls does not delay another
    Given a scheduler of one endpoint with 1 place
    When customer A queues 100 scheduler calls and customer B 10
    Then the scheduler has served all 10 calls of B among the first 20

  Scenario: The records of programs that are never ended are bounded
    Given a scheduler of one endpoint with 1 place
    When 60000 scheduler programs have run once each
    Then the scheduler has service records of at most 50000 programs

  Scenario: Calls queued at an endpoint that leaves go to another
    Given a scheduler of 2 endpoints with 1 place each
    When 20 scheduler calls are queued and the second endpoint leaves
    Then the scheduler sends nothing more there and loses no call

  Scenario: An instance takes a larger share of the places when others are gone
    Given a scheduler of one endpoint with 24 places shared by 6 instances
    When 30 scheduler calls are queued
    Then the scheduler runs 4 calls
    When the scheduler is informed that 3 instances are left
    Then the scheduler runs 8 calls

  Scenario: The running calls of an endpoint that is listed again still count
    Given a scheduler of 2 endpoints with 1 place each
    When the scheduler's second endpoint leaves and is listed again with calls in flight
    Then the scheduler has no more than 1 call at either endpoint
