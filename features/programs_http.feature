Feature: Programs and unrepeatable calls as callers see them
  Callers send requests to one process over sockets on the loopback interface.

  Scenario: A program can be read back
    Given a site for programs
    When a caller runs 3 turns of program "p1" and reads it
    Then the program page shows 3 turns, its history and what was spent

  Scenario: A cancelled program takes no further turn and its sub-agents end
    Given a site for programs
    When a caller runs 1 turns of program "p1" and 1 of its sub-agent "p1/lookup"
    And the caller cancels program "p1"
    Then a further turn of programs "p1" and "p1/lookup" is refused with code 1212

  Scenario: Another customer cannot tell whether a program exists
    Given a site for programs
    When a caller runs 1 turns of program "p1" and reads it
    And another customer reads programs "p1" and "p9"
    Then both readings of programs got the same refusal with code 1201

  Scenario: A repeated turn returns the stored answer
    Given a site for programs
    When a caller runs 2 turns of program "p1" and sends turn 2 again
    Then the repeated turn has the stored answer and the engine ran 2 turns
    And turn 2 with another body is refused with code 1202

  Scenario: A program ends at its budget
    Given a site for programs
    When a caller with a budget of 2 calls runs program "p1" until it is refused
    Then the program was refused after 2 turns with code 1206 and has ended

  Scenario: An unrepeatable call runs once per idempotency key
    Given a site for programs
    When a caller files twice with the idempotency key "k1"
    Then both filings have one outcome and the service ran once
    And the idempotency key "k1" with another body is refused with code 1221
    And an idempotency key of 513 characters is refused as malformed

  Scenario: A superseded turn is cancelled until the engine confirms it
    Given a site for programs with an engine that loses 2 cancellations
    When a turn of program "p1" is superseded while it runs
    Then the engine has cancelled the superseded turn
    And the superseding turn has its answer

  Scenario: The cache of a cancelled program is released
    Given a site for programs
    When a caller runs 2 turns of program "p1" and cancels it
    Then the engine has no cache of a program

  Scenario: Requests and caches of ended programs are swept at the engine
    Given a site for programs
    When an engine has a request and a cache of a program that has ended
    Then the sweep has cancelled the request and released the cache

  Scenario: An operator sees an unknown outcome and settles it
    Given a site for programs
    When the answer to a filing with the idempotency key "k1" is lost
    Then the operator sees the unknown outcome of key "k1" with its body
    And after it is settled as run the key "k1" is refused with code 1225
    And the service of programs ran once

  Scenario: A tool call is charged to its program
    Given a site for programs
    When a caller runs 1 turns of program "p1" and files once in it
    Then the program page shows 2 calls spent
