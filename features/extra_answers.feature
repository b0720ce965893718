Feature: An extra answer belongs to no request
  A faulty endpoint writes an earlier refusal once more on a kept connection. "Not run"
  must never be said of a request that was sent there and may run.

  Scenario Outline: A refusal with <named> comes before the own answer
    Given an endpoint that writes a refusal with <named> once more
    When it comes whole before the own answer, in two reads divided at each byte
    Then every caller got its own answer

    Examples:
      | named                         |
      | the id of the earlier request |
      | no id                         |
      | an empty id                   |
      | two ids                       |
      | two ids, its own last         |
      | two ids in one line           |

  Scenario Outline: A refusal with <named> is cut before the own answer
    Given an endpoint that writes a refusal with <named> once more
    When it is cut at each byte, with the own answer right behind it
    Then no caller was told that its request has not run

    Examples:
      | named                         |
      | the id of the earlier request |
      | no id                         |
      | two ids, its own last         |

  Scenario Outline: On the own interface, a refusal with <named> comes first
    Given an endpoint of the own interface that names the request of its first answer
    When it answers the second request with a refusal with <named>
    Then the second request's outcome is unknown

    Examples:
      | named                         |
      | the id of the earlier request |
      | no id                         |
      | an empty id                   |
      | two ids                       |

  Scenario: An endpoint whose answers name no request is served on new connections
    Given an endpoint whose answers name no request
    When 3 requests are sent to it
    Then each caller got its answer, over a connection of its own
