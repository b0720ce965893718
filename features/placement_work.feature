Feature: Endpoints are chosen by the time that a request is expected to take there
  Many instances with old reports must not all choose the same endpoint, and requests
  that look alike cost endpoints very different amounts of work.

  Scenario: Instances with the same old report don't fill an endpoint
    Given 50 instances that place by work among 20 endpoints
    When each endpoint reports 6 requests, but "e0" reports none, and 0.5 s pass
    Then at most 7 of 50 instances choose "e0"

  Scenario: An endpoint that never reports doesn't look free
    Given 50 instances that place by work among 20 endpoints
    When each endpoint reports 6 requests, but "e0" reports nothing, and 0.5 s pass
    Then at most 7 of 50 instances choose "e0"

  Scenario: An old report doesn't make a loaded endpoint look free
    Given 50 instances that place by work among 20 endpoints
    When "e0" reports 7 requests, and 1.5 s later each other endpoint reports 4
    Then at most 7 of 50 instances choose "e0"

  Scenario: A program stays where its prefix is cached, unless elsewhere costs less
    Given 9 instances that place by work among 20 endpoints
    Then all instances send a program's second turn of 8000 tokens to one endpoint
    When that endpoint has 200 requests waiting
    Then no instance sends a program's second turn of 8000 tokens to that endpoint

  Scenario: An endpoint whose memory is full gets no further large request
    Given 1 instances that place by work among 2 endpoints
    When 3 requests of 4000 tokens are sent to "e0" and 1 to "e1", which have room for 12000
    Then 20 of 20 requests of 4000 tokens go to "e1"

  Scenario: An endpoint that fails is expected to have lost its prefixes and its load
    Given 1 instances that place by work among 20 endpoints
    When "e3" completes a program's turn of 8000 tokens
    Then the program's next turn goes to "e3"
    When "e3" breaks a connection
    Then nothing is expected to be cached at "e3"

  Scenario: The setting turns the choice by work off
    Then instances place by counts unless the setting says "work"

  Scenario: A decision at 2,200 endpoints takes under 1 ms
    Given 1 instances that place by work among 2200 endpoints
    Then a decision takes under 1 ms

  Scenario: Costs of 1 to 30 are learned from tokens, and from bytes without them
    Given an estimator that has learned 4000 costs
    Then the estimates for 100, 800 and 3200 tokens are right within a factor of 1.3
    And a request whose declared tokens its body contradicts is estimated by its size

  Scenario: A customer that declares false sizes doesn't degrade others' estimates
    Given an estimator that has learned 4000 costs, a third of them false
    Then the estimates for 100, 800 and 3200 tokens are right within a factor of 1.3
    And the estimate for the false customer is right within a factor of 1.5

  Scenario: Estimates for 4,800 customers use under 4 MB
    Then the estimates for 4800 customers use under 4 MB

  Scenario Outline: With unequal costs, short requests fare as with costs known in advance
    Then at <instances> instances the 95th percentile of short requests is at most 1.2 of that with known costs, and by counts it is more

    Examples:
      | instances |
      | 6         |
      | 50        |

  Scenario Outline: Few plain endpoints of equal speed get equal shares
    Then at <instances> instances and <load> of the capacity the busiest of <count> endpoints gets at most 1.2 of the mean

    Examples:
      | instances | load | count |
      | 7         | 0.25 | 5     |
      | 7         | 0.6  | 5     |
      | 58        | 0.25 | 5     |
      | 58        | 0.6  | 5     |
      | 200       | 0.25 | 5     |
      | 200       | 0.6  | 5     |
      | 58        | 0.25 | 20    |
      | 200       | 0.6  | 20    |

  Scenario: An endpoint that hangs is not drawn among those that answer
    Given 1 instances that place by work among 5 endpoints
    When a request to "e0" has no answer for 2 s
    Then none of 100 plain requests goes to "e0"

  Scenario: An instance that has just started learns what turns cost from a few answers
    When it has seen 10 answers of engines that are 40 times as fast as assumed
    Then expected over actual cost is 0.8 to 1.25 at the median, and under 3 for 95 in 100

  Scenario: A customer that declares false sizes gains nothing
    Then requests of a customer that declares the least size take no less time

  Scenario: An endpoint whose speed halves gets less load within a second
    When work takes twice as long at an endpoint
    Then it is sent fewer requests from a second later on

  Scenario: Waits at endpoints are near those of one perfect dispatcher
    Then at 6 instances and 0.95 of the capacity waits are at most 1.3 of a perfect dispatcher's
    And at 50 instances and 0.95 of the capacity waits are at most 1.3 of a perfect dispatcher's
    And at 200 instances and 0.95 of the capacity waits are at most 1.3 of a perfect dispatcher's
