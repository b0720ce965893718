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
