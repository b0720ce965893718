Feature: Input that can't be read costs only itself
  What the platform, callers, endpoints and operators send is decoded at one place each.
  Nothing in it ends a process, and no decoder raises an exception that isn't its own.

  Scenario Outline: An entry whose address is no IP address and port names no server
    # It ended each entry instance as soon as a connection to any endpoint had failed.
    Then the server list with an entry at "<address>" has only its other entries

    Examples:
      | address                    |
      | http://10.0.0.1:9100/      |
      | 10.0.0.1:http              |
      | 10.0.0.1:                  |
      | 10.0.0.1:-1                |
      | 10.0.0.1:65536             |
      | 10.0.0.1:٣٤                |
      | 10.0.0.1:0                 |
      | :80                        |
      | a..b:80                    |
      | 10.0.0.1\0:80              |
      | ü:80                       |

  Scenario Outline: A connection to an address that can't be read is one that fails
    # The exception left the task that opens connections, and ended the process.
    Then connecting to "<address>" fails as to an endpoint that does not answer

    Examples:
      | address               |
      | http://10.0.0.1:9100/ |
      | 10.0.0.1:http         |
      | 10.0.0.1:             |
      | 10.0.0.1:-1           |
      | 10.0.0.1:65536        |
      | a..b:80               |
      | 10.0.0.1\0:80         |
      | ü:80                  |

  Scenario Outline: An entry that can't be read costs neither its page nor the next one
    # Text with half a character, or brackets without end, stopped the whole list, and
    # figures beyond 64 bits failed when the list was encoded for other instances.
    Then a list of two pages with an entry that has <fault> has only its other entries

    Examples:
      | fault                       |
      | half a character            |
      | bytes that are no UTF-8     |
      | brackets 100000 deep        |
      | an unknown field that deep  |
      | slots of 2**70              |
      | slots of -1                 |
      | slots of 1e400              |
      | slots of NaN                |
      | slots of a text             |
      | a start of 2**70            |
      | a start of -1               |
      | a start of Infinity         |
      | a start of 5000 digits      |
      | an id of a megabyte         |
      | an id of two lines          |
      | an empty id                 |
      | a zone of a megabyte        |
      | a number as its service     |
      | other brackets at its end   |
      | a literal that is cut       |
      | no text at all              |
      | quotes and brackets in text |

  Scenario Outline: An entry that lacks a field that each entry has names no server
    # Requests were sent to the address of an entry that another program had written.
    Then a list of two pages with an entry that has <fault> has only its other entries

    Examples:
      | fault              |
      | no id              |
      | no service         |
      | no address         |
      | no zone            |
      | no state           |
      | no version         |
      | no slots           |
      | null for a version |

  Scenario Outline: A page that is cut or isn't JSON leaves the list unread
    Then a list with <fault> is unread

    Examples:
      | fault                        |
      | nothing                      |
      | a page cut within an entry   |
      | a page cut after an entry    |
      | a page cut within a text     |
      | bytes after the page         |
      | bytes within the page        |
      | no entries                   |
      | an object of entries         |
      | a number for the next page   |
      | a next page of a megabyte    |
      | brackets without end         |
      | a page of 5 megabytes        |
      | 100000 servers               |
      | pages without end            |

  Scenario Outline: A figure of a caller that can't be read or is out of range is refused
    # A figure beyond 64 bits ended the process when it was encoded for the stores, and
    # digits of other scripts or in the thousands were answered 500.
    Then a request with "<header>" of <figure> is refused with its header and value

    Examples:
      | header         | figure             |
      | x-token-usage  | 10,2**70           |
      | x-token-usage  | 10,²               |
      | x-token-usage  | 10,5000 digits     |
      | x-token-usage  | 10,-1              |
      | x-token-usage  | nothing            |
      | x-token-budget | 2**70              |
      | x-token-budget | nan                |
      | x-token-budget | inf                |
      | x-token-budget | 1e400              |
      | x-token-budget | -1                 |
      | x-token-budget | 5000 digits        |
      | x-token-budget | ²                  |
      | x-deadline-ms  | nan                |
      | x-deadline-ms  | inf                |
      | x-deadline-ms  | -inf               |
      | x-deadline-ms  | 1e400              |
      | x-deadline-ms  | 2**70              |
      | x-deadline-ms  | 5000 digits        |
      | x-deadline-ms  | 1_000              |
      | x-finish-ms    | nan                |
      | x-finish-ms    | inf                |
      | x-finish-ms    | 2**70              |

  Scenario: Figures of callers that are in range are read
    Then a request with whole and decimal figures is read as it is

  Scenario Outline: A figure of a caller on the own interface that is out of range is refused
    Then a request with "program-turn" of <figure> is refused on the own interface

    Examples:
      | figure      |
      | 2**70       |
      | 5000 digits |
      | -1          |
      | ²           |

  Scenario Outline: A figure of an endpoint that can't be read counts as absent
    # A limit or time without bound was kept as one, or failed where it was used.
    Then an answer with "<header>" of <figure> is read, and names no such figure

    Examples:
      | header       | figure      |
      | keep-alive   | 5000 digits |
      | keep-alive   | nan         |
      | keep-alive   | ²           |
      | keep-alive   | -1          |
      | server-limit | 5000 digits |
      | server-limit | nan         |
      | server-limit | inf         |
      | server-limit | 1e400       |
      | server-limit | ²           |
      | server-limit | -1          |
      | request-limit | 5000 digits |
      | event id     | 5000 digits |
      | event id     | 2**70       |
      | event id     | ²           |

  Scenario Outline: A configuration that no instance could put in force is refused
    # Deep brackets were answered 500, and figures beyond 64 bits were acknowledged.
    Then a configuration with <fault> is refused, which quotes "<value>"

    Examples:
      | fault                         | value         |
      | brackets 100000 deep          | too deep      |
      | half a character              | configuration |
      | a number of 2**70             | 1180591620717 |
      | a number of -1                | -1            |
      | a retention of 1e297          | 1e+297        |
      | a retention of -1             | -1            |
      | a time-out of 1e300           | 1e+297        |
      | a time-out of NaN             | configuration |
      | a time-out of 1e400           | timeout-ms    |
      | -1 attempts                   | -1            |
      | 2**70 attempts                | 1180591620717 |
      | an objective of -1            | -0.001        |
      | a weight of 2**70             | 1180591620717 |
      | 2**70 connections             | 1180591620717 |
      | -1 connections                | -1            |
      | 2**70 tokens an event         | 1180591620717 |
      | -1 tokens of memory           | -1            |
      | a rate of -1                  | -1            |
      | a burst of 1e300              | 1e+300        |
      | a rank of 2**70               | 1180591620717 |
      | a customer of two lines       | evil          |
      | a health path of two lines    | evil          |
      | a prefix without slashes      | tool          |
      | hosts that differ in case     | /tool/        |

  Scenario: A configuration with unknown fields and unusual figures is accepted
    Then a configuration with unknown fields and figures at the ends of ranges is read

  Scenario Outline: No input raises another exception, and what is read can be used
    # Any number by hand: python -m features.subjects.decoder_inputs COUNT SEED
    Then 200 random inputs of <source> are read or refused, from seed 1

    Examples:
      | source             |
      | pages              |
      | foreign entries    |
      | callers' headers   |
      | endpoints' headers |
      | configurations     |

  Scenario Outline: A completion request that can't be read is refused with 400
    # RecursionError was answered 500, and figures beyond 64 bits went on to peers.
    Then a completion request with <fault> is refused

    Examples:
      | fault                |
      | brackets 5000 deep   |
      | 2**70 tokens at most |
      | -1 tokens at most    |
      | half a character     |

  Scenario Outline: A request to a configured address that can't be read fails to connect
    # httpx.InvalidURL, which no caller of the clients expects, left them.
    Then a request to a configured endpoint at "<address>" fails to connect
    And an order to a configured endpoint at "<address>" fails

    Examples:
      | address |
      | a:http  |
      | a\0:1   |
      | a:99999 |

  Scenario Outline: An own list of instances that is <text> keeps the one before
    When an own list of instances is <text>
    Then no error leaves its reader, and nothing is installed

    Examples:
      | text                |
      | nested 100,000 deep |
      | no UTF-8            |
      | cut in the middle   |

  Scenario: A version in digits of another script is refused
    When an operator waits for version "²" to be in force
    Then the operator's wait is refused as a bad request that quotes "²"

  Scenario Outline: An operator's command that is <text> is refused as a bad request
    When an operator sends a command that is <text>
    Then the operator's call is refused as a bad request

    Examples:
      | text                |
      | nested 100,000 deep |
      | no UTF-8            |
      | cut in the middle   |

  Scenario: A fault in a large configuration is named by its place
    Given a configuration of 1300 routes and 78 customers
    When the time-out of one route is no number
    Then the place of the fault is named when the configuration is decoded

  Scenario: Garbage is collected again after a configuration that can't be read
    When a decoder fails while collection is paused
    Then garbage is collected as before
