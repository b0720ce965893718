Feature: Callers are spread over every instance of their failure domain
  The directory gives a caller addresses among which it chooses at random. Given the same
  few to all callers, dozens of instances stayed idle while those few were overloaded.

  Scenario: Every instance of a large failure domain gets its share of callers
    Given 54 live instances in 3 failure domains
    When 6000 callers of each failure domain choose one of their addresses at random
    Then every instance gets between 0.7 and 1.3 of an equal share of the callers

  Scenario: Callers of a small failure domain have other instances to try
    Given 4 live instances in 4 failure domains
    When a caller of the first failure domain asks for addresses
    Then the answer has 3 addresses, the first of them in that failure domain

  Scenario: A failed instance is not given out
    Given 6 live instances in 2 failure domains
    And the first instance of the first failure domain has failed
    When a caller of the first failure domain asks for addresses
    Then the answer has 3 addresses, and the failed one is not among them
