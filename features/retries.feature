Feature: Retry budgets
  Retries are bounded to a small share of requests, which prevents retry storms.

  Scenario: A retry budget bounds retries to a share of requests
    Given a retry budget with share 0.1 and reserve 3
    When 1000 requests fail within one window and each wants 2 retries
    Then the retry budget has allowed at most 103 retries and at least 100

  Scenario: The retry budget of one customer is separate from the others'
    Given a retry budget with share 0.1 and reserve 3
    When one customer spends its whole retry budget
    Then another customer and another pool still have a retry

  Scenario: A retry budget recovers as requests succeed again
    Given a retry budget with share 0.1 and reserve 3
    When one customer spends its whole retry budget
    And the retry window passes 3 times
    Then that customer has a retry again

  Scenario: A retry backoff has full jitter and honours Retry-After
    Given a retry budget with share 0.1 and reserve 3
    Then 1000 backoffs of attempt 3 spread from 0 to 0.2 s
    And a backoff with a Retry-After of 5 s is never shorter than it
