Feature: What a control replica keeps is bounded in bytes
  Half of a control instance's memory (296 MB, of which Python takes 45) and of its disk
  (128 MB) has to do, however many changes of whatever size come.

  Scenario Outline: Changes of a large document fill neither memory nor disk, nor does a restart
    When <count> documents of <size> bytes are stored on the disk of one voter
    Then it has allocated at most 103 MB and written files of at most 64 MB
    And it is restarted within the same bounds and holds the last document

    Examples:
      | count | size    |
      | 110   | 1280000 |
      | 40    | 4194304 |

  Scenario Outline: A replica that was down while large documents changed catches up
    Given 3 control replicas that store documents of <size> bytes
    When one is down for <count> changes and then back while <more> more are made
    Then every change is acknowledged within 4 s
    And every control replica keeps at most 51 MB and 64 MB of files
    And all control replicas hold the last document

    Examples:
      | size    | count | more |
      | 1280000 | 60    | 20   |
      | 4194304 | 20    | 10   |

  Scenario: A replica that lost its disk joins while large documents change
    Given 3 control replicas that store documents of 1280000 bytes
    When one has lost its disk and joins over a slow link while 40 changes are made
    Then it has caught up before the last change
    And every control replica keeps at most 51 MB and 64 MB of files

  Scenario: A leader without a majority keeps only some of the documents sent to it
    Given 3 control replicas that store documents of 4194304 bytes
    When their leader is cut off and 20 documents are sent to it at once
    Then every control replica keeps at most 51 MB and 64 MB of files
    And the refused documents are stored once the leader is back

  Scenario: Crashes while snapshots are written leave no files that fill the disk
    Given 3 control replicas that store documents of 1280000 bytes
    When one crashes at 30 steps of its writes while documents change
    Then every control replica keeps at most 51 MB and 64 MB of files
    And all control replicas hold the last document

  Scenario: A document sent again or under a lower number adds nothing to the log
    Given 1 control instances on loopback that store document 5
    When it is sent again, under number 4, with a wrong token, and then under number 6
    Then only the last two were appended to the log of the control instance
    And the control instance answered them with 0, 0, 2004 and 0, and holds document 6

  Scenario: A document sent again to a leader without a majority is not acknowledged
    Given 3 control instances on loopback that store document 5
    When it is sent again to the leader after the others have stopped
    Then the control instance answered it with 2014

  Scenario: Earlier configurations are kept up to a size
    When 16 configurations of 600000 bytes that hardly compress come in turn
    Then at most 4 MiB of them are kept, the last two among them

  Scenario: A single configuration beyond the size is kept
    When 1 configurations of 9000000 bytes that hardly compress come in turn
    Then the last one is kept

  Scenario: Long refusals of submissions are kept up to a size
    When 100 submissions are refused for a reason of 100000 characters
    Then their outcomes take at most 4 MiB
    And the last submission gets its first outcome when it is sent again

  Scenario: A control process returns the memory of documents that it has let go
    When a control process encodes and decodes 60 entries of 4 MiB and holds the last 4
    Then its memory grows by at most 1.3 of what these take
