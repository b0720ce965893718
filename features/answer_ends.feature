Feature: An answer that ends early never looks complete
  An endpoint may stop anywhere: within the head, within a chunk, within an event.

  Scenario Outline: A <kind> with <framing> is cut at each byte
    Given a <kind> of an unrepeatable request with <framing>
    When it is cut at each byte, by a close and by a reset
    Then no caller saw other bytes, a false end, or that the request has not run

    Examples:
      | kind   | framing              |
      | body   | a length             |
      | body   | chunks               |
      | body   | its connection's end |
      | stream | a length             |
      | stream | chunks               |
      | stream | its connection's end |

  Scenario Outline: Answered with <answer>, the caller of an unrepeatable <kind> gets 502
    Given endpoints that answer a <kind> with <answer>
    When a caller asks for it
    Then the caller gets 502, and one endpoint was asked once

    Examples:
      | kind   | answer                                 |
      | stream | success and no event                   |
      | stream | success and a text without events      |
      | body   | a length and chunks                    |
      | body   | two lengths                            |
      | body   | a negative length                      |
      | body   | a length of 20 MB                      |
      | body   | a head of 80 KB                        |
      | body   | busy, without saying that it has not run |
      | body   | a refusal that is cut                  |

  # Guards against an invalid status that reaches a caller as an answer (MIXED).
  Scenario Outline: A <kind> answered with the invalid status <status> gets 502
    Given endpoints that answer a <kind> with status <status>
    When a caller asks for it
    Then the caller gets 502, and one endpoint was asked once

    Examples:
      | kind   | status |
      | body   | 000    |
      | body   | 099    |
      | body   | 600    |
      | body   | 999    |
      | stream | 000    |
      | stream | 099    |
      | stream | 600    |
      | stream | 999    |

  # Guards against an invalid status of a peer that is passed on (MIXED).
  Scenario Outline: A peer's answer with the invalid status <status> gets 502
    Given a peer that answers a relayed request with status <status>
    When a caller's request is relayed to it
    Then the caller of the relayed request gets 502

    Examples:
      | status |
      | 000    |
      | 099    |
      | 600    |
      | 999    |

  # Guards against an invalid status on the own interface (MIXED).
  Scenario Outline: On the own interface, the invalid status <status> is no answer
    Given an endpoint of the own interface that answers with status <status>
    When a pooled client calls it
    Then the call has failed without an answer

    Examples:
      | status |
      | 000    |
      | 099    |
      | 600    |
      | 999    |

  Scenario: A stream that broke off isn't continued by another endpoint's error
    Given two endpoints, of which the first breaks a stream off after each byte
    When callers ask for it
    Then no caller got a byte of the second endpoint's answer
