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
