Feature: Answers stay whole when the parts around the entry fail

  Scenario: An engine is killed in the middle of a stream
    Given an entry site with 2 engines
    When an engine is killed in the middle of each of 4 answers
    Then every entry answer is whole, with no token lost or doubled

  Scenario: An engine starts over where it was asked to resume
    Given an entry site with 1 engines
    When an engine that starts over is cut in the middle of an answer
    Then the entry answer ends with code 1402 and no token is doubled

  Scenario: Open connections to an engine go silent for good
    Given an entry site with 1 engines
    When the open connections go silent in the middle of an answer
    Then every entry answer is whole, with no token lost or doubled
    And the answer came within the silence bound

  Scenario: Pooled idle connections go silent for good
    Given an entry site with 1 engines
    When the idle connections go silent before an answer
    Then every entry answer is whole, with no token lost or doubled
    And the answer came within the silence bound

  Scenario: Answers of many callers cross
    Given an entry site with 2 engines
    When 60 callers ask at once at different paces
    Then every entry answer is whole, with no token lost or doubled

  Scenario: A caller leaves in the middle and comes back at its offset
    Given an entry site with 1 engines
    When a caller leaves after 3 events and rejoins with the last event id
    Then every entry answer is whole, with no token lost or doubled
    And the engine has run the turn once

  Scenario: A caller leaves for good
    Given an entry site with 1 engines
    When a caller leaves after 3 events for good
    Then the engine's stream is closed within the grace

  Scenario: Two callers race on one turn
    Given an entry site with 1 engines
    When two callers send different bodies for one turn
    Then one entry caller wins and the other is refused as not run

  Scenario: A model runs only at an engine that serves it
    Given an entry site with 2 engines of which engine 2 serves the model
    When 6 callers ask at once at different paces
    Then every entry answer is whole, with no token lost or doubled
    And only engine 2 has run them

  Scenario: A model that no engine serves is refused
    Given an entry site with 1 engines of which engine 0 serves the model
    When a caller asks for the model that no engine serves
    Then the entry caller is refused with code 1401 as not run

  Scenario: The instance shuts down under load
    Given an entry site with 2 engines
    When the instance drains while 20 callers are answered
    Then every entry answer is whole, with no token lost or doubled
    And later callers are refused with code 1502 or find no listener
