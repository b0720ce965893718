Feature: Callers that return to instances still starting keep their attempts

  Scenario Outline: 200 callers return at once, and the instance is ready after <ready> s
    Given an instance that is ready <ready> s after its start, and callers with 2 attempts
    Then <lost> of 200 callers are lost, and all are if they are refused at once

    Examples:
      | ready | lost |
      | 0.5   | 0    |
      | 0.7   | 0    |
      | 0.9   | 0    |
      | 2.0   | 200  |

  Scenario Outline: A request of <time> s waits <wait> s at an instance of <age> s
    Then a request of <time> s waits <wait> s at an instance that started <age> s ago

    Examples:
      | time | age | wait |
      | 3.0  | 0.0 | 0.75 |
      | 1.2  | 0.0 | 0.3  |
      | 3.0  | 0.7 | 0.1  |
      | 3.0  | 5.0 | 0.0  |
