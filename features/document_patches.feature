Feature: Documents are made only from patches that yield them

  Scenario: A patch yields its document from the earlier one, whatever both are
    Given 300 drawn pairs of documents of up to 100000 bytes
    When a patch of each pair is applied to the earlier one
    Then it yields the later one, and any other document as its base is noticed

  Scenario Outline: A damaged patch is never installed, and the document is asked for whole
    Given an instance that has version 1 of a document
    When it is sent version 2 with a patch <damage>
    Then version 1 stays in force, and the instance asks a control instance for version 2
    And when it is given version 2, that is in force

    Examples:
      | damage                          |
      | with a byte changed             |
      | that is cut short               |
      | that yields another document    |
      | that is said to be of 1 GB      |

  Scenario: An import with earlier documents is followed
    Given an instance that has version 1 of a document
    When the whole state is replaced by one with an earlier document
    Then the instance has the earlier document

  Scenario: A control instance gives the patches from what is held, if they are smaller
    Given a control instance that has had 20 versions of a document
    When it is asked for the latest by instances that hold the first, the last but one, another and none
    Then each can make the latest of what it is sent
    And the one that holds the last but one is sent less than a tenth of the others
