Feature: Clients of the own interface that don't behave end no process
  A real process with 200 MB of memory and 600 descriptors. A crowd of clients stays
  connected while one ordinary request is sent.

  Scenario Outline: A crowd <transport> TLS, <crowd>
    Given a real process <transport> TLS
    When a crowd comes to the process with <crowd>
    Then the process lives within its machine
    And an ordinary request to the process is answered meanwhile

    Examples:
      | transport | crowd                                              |
      | without   | 40 bodies announced as 10 GB                       |
      | without   | 40 chunked bodies without end                      |
      | without   | 40 bodies that lack their last byte                |
      | without   | 40 whole filings                                   |
      | without   | 800 idle connections                               |
      | without   | 800 unfinished heads                               |
      | without   | 40 chunked bodies without end to the operator port |
      | with      | 40 bodies announced as 10 GB                       |
      | with      | 40 bodies that lack their last byte                |
      | with      | 40 whole filings                                   |
      | with      | 800 idle connections                               |
      | with      | 800 unfinished heads                               |
      | with      | 10 streams of HTTP/2 without end                   |
      | without   | 8 series of kept turns                             |
