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

  Scenario: A stream that broke off isn't continued by another endpoint's error
    Given two endpoints, of which the first breaks a stream off after each byte
    When callers ask for it
    Then no caller got a byte of the second endpoint's answer
