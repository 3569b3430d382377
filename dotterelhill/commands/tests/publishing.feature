Feature: Publishing a manifest

  Scenario: Only the first of several faults in a manifest is reported
    Given a manifest file with 3 faults
    When "manifest check" runs on it
    Then the exit status is 1
    And the output names the paths limits.cpu, services.desk.deadline_seconds, colour

  Scenario: A malformed manifest is appended to the log
    Given a manifest file with 3 faults
    When "manifest publish" runs on it
    Then the exit status is 1
    And the log has 0 records

  @manifest
  Scenario: A publication whose acknowledgement is lost is reported as failed
    Given an empty log that loses the answer of 1 append after it took effect
    When a manifest is published
    Then it is accepted as version 1 after 1 appends
    And the log has 1 records

  @manifest
  Scenario: An append that times out but takes effect later changes the manifest twice
    Given an empty log that performs 1 append only when the next one arrives
    When a manifest is published
    Then it is accepted as version 1 after 2 appends
    And every reader has version 1 in force

  @manifest
  Scenario: A publication that is repeated with the same id is reported as a conflict
    Given an empty log
    When a manifest is published with id "first"
    And a manifest is published with id "first"
    Then it is accepted as version 1 after 0 appends

  Scenario: Another document that is published with an earlier id is reported as accepted
    Given an empty log
    When a manifest is published with id "first"
    And another manifest is published with id "first"
    Then the command ends with status 1 and names "differs from the file"

  @manifest
  Scenario: The loser of two concurrent publications is not told which one was accepted
    Given an empty log where publication "other" arrives just before the next append
    When a manifest is published
    Then it is refused and publication "other" is named as the winner with version 1

  @manifest
  Scenario: A publication made from an old version replaces a newer one
    Given an empty log
    When a manifest is published with id "first"
    And a manifest is published on base 0
    Then it is refused and publication "first" is named as the winner with version 1
    And the log has 1 records

  Scenario: A publication is repeated with a new id while the first may still take effect
    Given an empty log that loses the answer of 9 appends and then can't be read
    When a manifest is published with id "first"
    Then the command ends with status 4 and names "--base 0 --id first"

  Scenario: A publication that never reached the log is reported as one with unknown outcome
    Given an empty log that refuses every call
    When a manifest is published with id "first"
    Then the command ends with status 3 and names "not published"

  Scenario: Every publication is reported as outdated when the log has trimmed the first version
    Given a log whose first version is past retention
    When a manifest is published with id "next"
    Then the command ends with status 3 and names "--entry"
    When a manifest is published with the one in force at an entry process
    Then it is accepted as version 12 after 1 appends
