Feature: Placement of models on endpoints
  Copies follow demand, changes are damped, and loads stay within the weight store's rate.

  Scenario: An asset without a copy is placed first
    Given a placement planner of 4 endpoints that all have loaded model "a"
    When placement demand is 10 s a second for "a" and 1 s a second for "b" for 300 s
    Then placement has loaded "b" on 1 endpoint

  Scenario: Copies follow demand
    Given a placement planner of 6 endpoints that all have loaded model "a"
    When placement demand is 5 s a second for "a" and 5 s a second for "b" for 1500 s
    Then placement has between 2 and 4 copies of "b"

  Scenario: Small swings of demand do not change the placement
    Given a placement planner of 6 endpoints that all have loaded model "a"
    When placement demand is 5 s a second for "a" and 5 s a second for "b" for 1500 s
    And placement demand swings by a quarter for 3600 s
    Then placement has made at most 2 further changes

  Scenario: Without damping, the same swings change the placement repeatedly
    Given a placement planner without damping of 6 endpoints that all have loaded model "a"
    When placement demand is 5 s a second for "a" and 5 s a second for "b" for 1500 s
    And placement demand swings by a quarter for 3600 s
    Then placement has made more than 2 further changes

  Scenario: Loads stay within the weight store's rate
    Given a placement planner of 6 endpoints that all have loaded model "a"
    When placement demand is 1 s a second for "a" and 50 s a second for "b" for 900 s
    Then no two placement loads begin within one transfer of 30 s

  Scenario: The last copy of a model in demand is never unloaded
    Given a placement planner of 1 endpoints that all have loaded model "a"
    When placement demand is 1 s a second for "a" and 50 s a second for "b" for 900 s
    Then placement has between 1 and 1 copies of "a"

  Scenario: A lost endpoint is replaced
    Given a placement planner of 4 endpoints that all have loaded model "a"
    When placement demand is 10 s a second for "a" and 1 s a second for "b" for 300 s
    And the placement endpoint with "b" is lost
    And placement demand is 10 s a second for "a" and 1 s a second for "b" for 300 s
    Then placement has between 1 and 2 copies of "b"
