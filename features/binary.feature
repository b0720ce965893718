Feature: The program ships as one file

  Scenario: The file runs as one process and writes no file
    Given the shipped file
    When it serves with a home folder and a working folder that cannot be written
    Then it answers its operator port
    And it has started no process and runs on one thread
    And it has written no file and holds no shared memory
    And it exits on SIGTERM with exit code 0

  Scenario: The file answers the command line
    Given the shipped file
    Then the shipped file prints its version
    And the shipped file reports the faults of a settings file with exit code 1
    And the shipped file rejects a wrong command line with exit code 2
