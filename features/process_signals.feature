Feature: A process lives through signals and changed settings at any moment
  Real processes of the three roles. The first 0.05 s, in which the interpreter itself
  starts, are not ours.

  Scenario Outline: SIGHUP while an instance of role <role> starts does not end it
    Given the settings of an instance of role <role>
    When it is started 8 times, and gets SIGHUP 0.05 s to 0.6 s after its code begins
    Then it runs each time

    Examples:
      | role    |
      | entry   |
      | storage |
      | control |

  Scenario Outline: SIGTERM while an instance of role <role> starts ends it in order
    Given the settings of an instance of role <role>
    When it is started 6 times, and gets SIGTERM 0.05 s to 0.6 s after its code begins
    Then it ends each time with exit code 0

    Examples:
      | role    |
      | storage |
      | control |

  Scenario Outline: A settings file that <change> while a process runs changes nothing
    Given the settings of an instance of role storage
    When it runs, its settings file <change>, and SIGHUP follows after 2.5 s
    Then it still runs, and has logged that the settings were not reloaded
    When the former settings file is back, and SIGHUP follows
    Then it still runs, and has logged that the settings were reloaded

    Examples:
      | change                      |
      | becomes bytes without text  |
      | is cut off in the middle    |
      | becomes empty               |
      | becomes a folder            |
      | disappears                  |
      | holds a value out of range  |

  Scenario: A process whose log nobody reads any more goes on
    Given the settings of an instance of role storage
    When it runs, the reader of its log goes away, and it logs more
    Then it still runs after 1.5 s

  Scenario: A damaged data folder ends a process at its start, with the code
    Given the settings of an instance of role control
    When it has run, its journal is cut to 9 bytes, and it starts again
    Then it ends with exit code 1, and logged the code 2101

  Scenario: A listening address that is taken ends a process at its start, with the code
    Given the settings of an instance of role storage
    When another socket has its peer address, and it starts
    Then it ends with exit code 1, and logged the code 2107

  Scenario Outline: A settings file that is being written at a start does not end the process
    Given the settings of an instance of role storage
    When its settings file <change>, it starts, and the whole file is there 0.7 s later
    Then it runs

    Examples:
      | change                 |
      | is cut off in the middle |
      | becomes empty          |
      | disappears             |

  Scenario Outline: Settings that stay invalid end a process at its start, with the code
    Given the settings of an instance of role storage
    When its settings file <change>, and it starts
    Then it ends with exit code 1, and logged the code 2001

    Examples:
      | change                     |
      | becomes empty              |
      | becomes bytes without text |
