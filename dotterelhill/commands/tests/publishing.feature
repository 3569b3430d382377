Feature: Publishing a manifest

  Scenario: A malformed manifest would be corrected one fault at a time
    Given a manifest file with 3 faults
    When "manifest check" runs on it
    Then the exit status is 1
    And the output names the paths limits.cpu, services.desk.deadline_seconds, colour

  Scenario: A malformed manifest would reach the log
    Given a manifest file with 3 faults
    When "manifest publish" runs on it
    Then the exit status is 1
    And the log has 0 records

  @manifest
  Scenario: A lost acknowledgement would be reported as a failure
    Given an empty log that loses the answer of 1 append after it took effect
    When a manifest is published
    Then it is accepted as version 1 after 1 appends
    And the log has 1 records

  @manifest
  Scenario: An append that times out and takes effect late would change the manifest twice
    Given an empty log that performs 1 append only when the next one arrives
    When a manifest is published
    Then it is accepted as version 1 after 2 appends
    And every reader has version 1 in force

  @manifest
  Scenario: A repeat by hand with the same id would be reported as a conflict
    Given an empty log
    When a manifest is published with id "first"
    And a manifest is published with id "first"
    Then it is accepted as version 1 after 0 appends

  Scenario: A repeat by hand with another document would be reported as accepted
    Given an empty log
    When a manifest is published with id "first"
    And another manifest is published with id "first"
    Then the command ends with status 1 and names "differs from the file"

  @manifest
  Scenario: The loser of two racing publications would not learn who won
    Given an empty log where publication "other" arrives just before the next append
    When a manifest is published
    Then it is refused and publication "other" is named as the winner with version 1

  @manifest
  Scenario: A publication made from an old version would replace a newer one
    Given an empty log
    When a manifest is published with id "first"
    And a manifest is published on base 0
    Then it is refused and publication "first" is named as the winner with version 1
    And the log has 1 records

  Scenario: An operator would repeat a publication under a new id while the first may take effect
    Given an empty log that loses the answer of 9 appends and then can't be read
    When a manifest is published with id "first"
    Then the command ends with status 4 and names "--base 0 --id first"

  Scenario: An unreachable log would be reported as an unknown outcome
    Given an empty log that refuses every call
    When a manifest is published with id "first"
    Then the command ends with status 3 and names "not published"

  Scenario: A trimmed log would make every publication look outdated
    Given a log whose first version is past retention
    When a manifest is published with id "next"
    Then the command ends with status 3 and names "--entry"
    When a manifest is published with what an entry process knows
    Then it is accepted as version 12 after 1 appends
