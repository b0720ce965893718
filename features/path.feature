Feature: The whole path of a request
  A caller presents a key, sends a program's turns and gets whole answers.

  Scenario: A program of three turns runs through one process
    Given a running site
    When a caller sends 3 turns of one program
    Then each answer is what the engine makes of the whole history
    And the audit trail verifies

  Scenario: A request without a key is refused
    Given a running site
    When a caller sends a turn without a key
    Then the refusal has code 1101 and says "not run"

  Scenario: A withdrawn key is refused
    Given a running site
    When the caller's key is withdrawn and a turn is sent
    Then the refusal has code 1102 and says "not run"

  Scenario: A stream cut by the engine is resumed at its offset
    Given a running site whose engine cuts streams after 2 tokens
    When a caller sends 1 turns of one program
    Then each answer is what the engine makes of the whole history

  Scenario: No endpoint sees a key, wherever the caller puts it
    Given a running site
    When a caller files with the key in every place
    Then no endpoint has seen the key

  Scenario: A route open to all needs no key
    Given a running site
    When a caller without a key uses the route open to all
    Then the call without a key is answered

  Scenario: No log line holds a key or a prompt
    Given a running site
    When a caller sends 2 turns of one program and the log is kept
    Then the log names the program and holds neither key nor prompt

  Scenario: A caller may lower its class and not raise it
    Given a running site
    When a caller asks for the classes "low" and "urgent" and "king"
    Then the engine is told "low" and "normal" and the third is refused

  Scenario: A stale turn and a gap are refused
    Given a running site
    When a caller sends turn 5 of a new program
    Then the refusal has code 1203 and says "not run"
