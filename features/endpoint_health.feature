Feature: Endpoints that serve badly are ejected, of what all instances have seen
  Their health is good, and each instance sends too few requests to tell.

  Scenario Outline: An endpoint that serves badly soon gets few requests
    Given 8 instances that send 8 requests a second each to 6 endpoints
    When one endpoint <fault> for 40 s, with seeds 1 to 5
    Then it is ejected within <limit> s
    And from then on it gets at most <part> of an even share

    Examples:
      | fault            | limit | part |
      | fails 45 in 100  | 6     | 0.35 |
      | hangs on 30 in 100 | 6   | 0.35 |
      | alternates       | 8     | 0.5  |
      | is slow          | 8     | 0.35 |

  Scenario Outline: No endpoint is ejected for what is not its own fault
    Given 8 instances that send 8 requests a second each to 6 endpoints
    When <fault> for 20 s, with seeds 1 to 5
    Then no endpoint is ejected

    Examples:
      | fault                           |
      | nothing fails                   |
      | every endpoint fails 45 in 100  |
      | two instances reach nothing     |

  Scenario: What one instance of two sees alone ejects no endpoint
    Given 2 instances that send 32 requests a second each to 6 endpoints
    When one instance fails at one endpoint for 20 s, with seeds 1 to 5
    Then no endpoint is ejected

  Scenario: A failure does not count before its instance has heard from an endpoint
    Given an instance whose request failed at 1 s and that heard from an endpoint at 0.5 s
    Then its report at 1.5 s has 0 failures
    And its report at 3.0 s has 1 failure if it heard from an endpoint at 2.0 s

  Scenario: At most a third of a service's endpoints is ejected
    Given 8 instances that send 8 requests a second each to 6 endpoints
    When three endpoints fail 60 in 100 for 30 s, with seeds 1 to 5
    Then 2 endpoints at most are ejected or return at any moment
    And at least one is ejected

  Scenario: An endpoint that serves well again returns by a ramp
    Given 8 instances that send 8 requests a second each to 6 endpoints
    When one endpoint fails 45 in 100 for 8 s, with seeds 1 to 5
    And everything serves well for 60 s more
    Then its weight grows from 0 to 1 without a step of over 0.2
    And at the end it is not ejected

  Scenario: An ejected endpoint that starts anew returns at once
    Given 8 instances that send 8 requests a second each to 6 endpoints
    When one endpoint fails 45 in 100 for 4 s, with seeds 1 to 5
    And it starts anew, and everything serves well for 3 s more
    Then it is no longer ejected, and returns by the ramp

  Scenario: An instance that does not hear from its leader keeps the marks until they run out
    Given an instance that was told that an endpoint returns in 5 s
    Then its weight is 0.0 after 4.9 s
    And its weight is 0.55 after 7.5 s
    And its weight is 1.0 after 10.0 s

  Scenario: A request that its endpoint leaves without an answer counts as failed
    Given an attempt of a request at an endpoint
    When its time is over after 0.6 s of silence
    Then the endpoint has failed 1 time

  Scenario: A request that its caller gave little time does not count as failed
    Given an attempt of a request at an endpoint
    When its time is over after 0.4 s of silence
    Then the endpoint has failed 0 times

  Scenario: A server that refuses each second request gets few requests of two instances
    Given a site with three tool servers, of which one refuses each second request
    When callers send 40 tool calls a second for 20 s
    Then in the last 16 s the bad server gets at most 0.35 of an even share
    And every call of these is answered
