Feature: Scheduling on the path of a request
  Engines receive the priority and the cache key; operators see the reason.

  Scenario: An engine receives the priority level and the cache key, and its reports arrive
    Given a scheduling site with 2 engines
    When a scheduled program of 3 turns runs to its end
    Then the scheduled program's turns all ran at one engine
    And that engine received a priority level and one cache key
    And the scheduler has received that engine's load and cache events
    And the operator sees why each scheduled call went there

  Scenario: An engine drops the cache of a program that has ended
    Given a scheduling site with 2 engines
    When a scheduled program of 2 turns runs and is ended
    Then the engine has dropped the scheduled program's cache
