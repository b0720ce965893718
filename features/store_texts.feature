Feature: The texts of turns lie in a store's files, and its memory holds an index
  A store keeps what it must keep: its memory bounds the number of turns, and its disk
  their texts.

  # Guards against stores that refuse turns while their disks are empty (LOST, SHORT).
  Scenario: A store keeps more texts than its memory has room for
    Given a store with room for 1 MB of records in memory
    When a program stores 200 turns of 20 KB
    Then none was refused, and the store held at most 1 MB in memory
    And the program's chain is whole

  Scenario: A store that has lost power has its texts, and holds only their index
    Given a store with room for 1 MB of records in memory
    When a program stores 200 turns of 20 KB
    And the store loses power and starts again
    Then none was refused, and the store held at most 1 MB in memory
    And the program's chain is whole

  Scenario: Texts that are written again are found after their first files are removed
    Given a store with room for 1 MB of records in memory
    When a program stores a turn of 60 KB each second, for 60 s
    Then the store has removed its first files
    And the program's chain is whole

  Scenario: A store whose disk is full refuses turns, and takes them once files are removed
    Given a store with room for 1 MB in memory, and 12 MB on its disk
    When a program stores turns of 200 KB until one is refused
    Then the files take at most 12 MB
    When 60 s have passed at the store
    Then a turn of 200 KB is taken

  Scenario: A damaged text is never taken for one
    Given a store with room for 1 MB of records in memory
    When a program stores 3 turns of 20 KB
    And a bit of the first turn's text is flipped
    Then reading the chain fails with 2101
