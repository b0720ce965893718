Feature: Answers stay complete when engines, connections or callers fail

  Scenario: An engine is killed in the middle of a stream
    Given an entry site with 2 engines
    When an engine is killed in the middle of each of 4 answers
    Then every entry answer is complete, with no token lost or duplicated

  Scenario: An engine starts from the beginning when asked to resume
    Given an entry site with 1 engines
    When an engine that starts from the beginning is interrupted in the middle of an answer
    Then the entry answer ends with code 1402 and no token is duplicated

  Scenario: An engine of another software version does not finish an answer
    Given an entry site with engines of the versions "a b"
    When an engine is killed in the middle of each of 4 answers
    Then interrupted answers end with code 1402 and hold events of one version

  Scenario: An engine that started again with another version does not finish an answer
    Given an entry site with engines of the versions "a"
    When the engine starts again as version "b" in the middle of an answer
    Then interrupted answers end with code 1402 and hold events of one version

  Scenario: An engine of the same version finishes an answer beside another version
    Given an entry site with engines of the versions "a b a"
    When an engine is killed in the middle of each of 4 answers
    Then every entry answer is complete, with no token lost or duplicated
    And every answer holds events of one version

  Scenario: Open connections to an engine go silent permanently
    Given an entry site with 1 engines
    When the open connections go silent in the middle of an answer
    Then every entry answer is complete, with no token lost or duplicated
    And the answer came within the silence bound

  Scenario Outline: An engine stalls, but sends <bytes> now and then
    Given an entry site with 1 engines
    When the engine stalls in the middle of an answer, but sends <bytes> now and then
    Then every entry answer is complete, with no token lost or duplicated
    And the answer came within the stall bound

    Examples:
      | bytes           |
      | a byte          |
      | a comment block |

  Scenario: A slow but sound answer with comments between its tokens is not cut
    Given an entry site with 1 engines
    When the engine sends each token after 1.2 s, and comments meanwhile
    Then every entry answer is complete, with no token lost or duplicated
    And the engine has run the turn once

  Scenario: A copy of an earlier answer arrives late, on a connection in use again
    Given an entry site with 1 engines
    When 3 callers ask one after the other, and a copy of each answer arrives late
    Then every entry answer is complete, with no token lost or duplicated

  Scenario: An answer of a plain service that breaks off halfway never looks complete
    Given an entry site with 1 engines
    When a plain service breaks its answer off halfway
    Then the caller of the service has no whole answer

  Scenario: Pooled idle connections go silent permanently
    Given an entry site with 1 engines
    When the idle connections go silent before an answer
    Then every entry answer is complete, with no token lost or duplicated
    And the answer came within the silence bound

  Scenario: Many callers are answered at the same time
    Given an entry site with 2 engines
    When 60 callers ask at the same time at different paces
    Then every entry answer is complete, with no token lost or duplicated

  Scenario: A caller leaves in the middle and rejoins at its offset
    Given an entry site with 1 engines
    When a caller leaves after 3 events and rejoins with the last event id
    Then every entry answer is complete, with no token lost or duplicated
    And the engine has run the turn once

  Scenario: A caller leaves and does not rejoin
    Given an entry site with 1 engines
    When a caller leaves after 3 events and does not rejoin
    Then the engine's stream is closed within the abandon grace

  Scenario: Two callers race on one turn
    Given an entry site with 1 engines
    When two callers send different bodies for one turn
    Then one entry caller wins and the other is refused as not run

  Scenario: A model runs only at an engine that serves it
    Given an entry site with 2 engines of which engine 2 serves the model
    When 6 callers ask at the same time at different paces
    Then every entry answer is complete, with no token lost or duplicated
    And only engine 2 has run them

  Scenario: A model that no engine serves is refused
    Given an entry site with 1 engines of which engine 0 serves the model
    When a caller asks for the model that no engine serves
    Then the entry caller is refused with code 1401 as not run

  Scenario: The instance shuts down under load
    Given an entry site with 2 engines
    When the instance drains while 20 callers are answered
    Then every entry answer is complete, with no token lost or duplicated
    And later callers are refused with code 1502 or find no listener
