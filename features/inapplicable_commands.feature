Feature: A command that can't be applied is refused alike by every replica
  Each replica applies a committed command at its commit, and again from its log after a
  restart. An error there would end every control process, again and again.

  Scenario Outline: An import of an image with <fault> is refused and changes nothing
    Given a control state with a configuration, a key and a document
    When an image with <fault> is imported
    Then the control command is refused with <code>
    And the control state has the content of before

    Examples:
      | fault                        | code |
      | a key that is no hex digest  | 2012 |
      | an empty key                 | 2012 |
      | a version beyond all others  | 2012 |
      | a document of a number beyond all others | 2012 |
      | an unknown field nested 100000 deep      | 2012 |

  Scenario: A document of a number beyond all others is refused
    Given a control state with a configuration, a key and a document
    When a document of a number beyond all others is put
    Then the control command is refused with 1001
    And the control state has the content of before

  Scenario: The largest version and number that are taken can be stored and counted on
    Given a control state with a configuration, a key and a document
    When an image with the largest version and number is imported, then a key withdrawn
    Then both control commands are accepted
    And the control state can be stored and read again

  Scenario Outline: An error that nobody foresaw in <command> leaves nothing half changed
    Given a control state with a configuration, a key and a document
    When <command> raises in the middle
    Then the control command is refused with 1001
    And the control state has the content of before

    Examples:
      | command            |
      | an import          |
      | a submission       |
      | a rollback         |
      | a key issued       |
      | a key withdrawn    |
      | an operator        |
      | a document         |
      | a shard assignment |

  Scenario: An error of the machine itself is not taken for one of the command
    Given a control state with a configuration, a key and a document
    When applying a command runs out of memory
    Then that error is raised

  Scenario: Replicas stay up at such a command, and at its replay
    Given 3 control replicas that have a leader
    When an import of each faulty image is committed and every replica is restarted
    Then every replica has refused each of them
    And the states of the control replicas are equal

  Scenario: An image that only replicas with a short stack could decode reaches no log
    Given a control instance on loopback
    When an image nested almost as deep as it can decode is imported
    Then the import is refused with 2012 and not in the log
