Feature: The path of a request from its caller to an engine and back
  A caller sends the turns of a program with its key and receives complete answers.

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

  Scenario: A stream that an engine interrupts is resumed at its offset
    Given a running site whose engine interrupts streams after 2 tokens
    When a caller sends 1 turns of one program
    Then each answer is what the engine makes of the whole history

  Scenario: No endpoint sees a key, wherever the caller puts it
    Given a running site
    When a caller sends a filing with the key in every place
    Then no endpoint has seen the key

  Scenario: A route that is open to all callers needs no key
    Given a running site
    When a caller without a key uses the route open to all
    Then the call without a key is answered

  Scenario: No log line holds a key or a prompt
    Given a running site
    When a caller sends 2 turns of one program and the log is recorded
    Then the log names the program and holds neither key nor prompt

  Scenario: A caller may lower its priority class, but not raise it
    Given a running site
    When a caller requests the priority classes "low" and "urgent" and "king"
    Then the engine receives "low" and "normal" and the third is refused

  Scenario: A turn whose earlier turns are missing is refused
    Given a running site
    When a caller sends turn 5 of a new program
    Then the refusal has code 1203 and says "not run"
