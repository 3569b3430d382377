Feature: The processes of a domain never use a minion beyond its size

  Each title names the failure that its scenario guards against and its cause.

  Scenario: Two processes use a minion because one of them does not hear the holder's heartbeats
    Given a domain of 3 processes with an autonomy of 120 seconds
    When the holder of "m0" is not heard by one process for 120 seconds
    Then "m0" has one holder with 8 slots after 60 more seconds

  Scenario: A holder that resumes from a pause after a takeover dispatches beyond its base share
    Given a domain of 3 processes with an autonomy of 120 seconds
    When the holder of "m0" is paused for 70 seconds
    Then the former holder of "m0" may use 2 slots and its successor 6
    When 1 more seconds pass
    Then the former holder of "m0" may use 0 slots and its successor 6
    And "m0" has one holder with 8 slots after 90 more seconds

  Scenario: A holder loses slots because the log is down, although all peers are alive
    Given a domain of 3 processes with an autonomy of 3600 seconds
    When the log is down for 1800 seconds
    Then "m0" has one holder with 8 slots at all times of the last 1800 seconds

  Scenario: A holder without evidence uses more than its base share while a peer's promise is missing
    Given a domain of 3 processes with an autonomy of 3600 seconds
    When the log is down and a process other than the holder of "m0" is lost for 16 seconds
    Then the former holder of "m0" may use 2 slots and 16 connections

  Scenario: The base share of a lost holder stays reserved after its VM was replaced
    Given a domain of 3 processes with an autonomy of 120 seconds
    When the VM of the holder of "m0" is lost for 20 seconds
    And it is replaced
    Then "m0" has one holder with 8 slots after 60 more seconds

  Scenario: The base share of a lost holder stays reserved without end because its VM is not replaced
    Given a domain of 3 processes with an autonomy of 120 seconds
    When the VM of the holder of "m0" is lost for 60 seconds
    Then the former holder of "m0" may use 0 slots and its successor 6
    And "m0" has one holder with 8 slots after 160 more seconds

  @graceful-stop
  Scenario: A stopping holder releases a minion while requests are in flight there
    Given a domain of 3 processes with an autonomy of 120 seconds
    When the holder of "m0" is asked to stop
    Then it releases "m0" only after its 8 requests are over and then leaves
    And "m0" has one holder with 8 slots after 5 more seconds

  @leaving
  Scenario: A minion that the VM list marks as leaving gets new requests
    Given a holdings service that uses "m0" and "m1"
    When the VM list marks "m0" as leaving
    Then within 1 seconds "m0" has no permit and "m1" has one
    And "m0" is released once it is not busy

  Scenario: A graceful stop ends before all holdings are released
    Given a holdings service that uses "m0" and "m1"
    When it leaves
    Then its last records are two releases and a Leave

  Scenario Outline: A holder uses all slots because of a promise or evidence that is missing, too old or not folded
    Given a holder of "m0" without evidence for 11 seconds, with everything folded through 4
    When heartbeats of <senders> carry <content>, a stamp <stamp> s old and offset <offset>
    And records are folded through <folded>
    Then it may use <slots> slots

    Examples:
      | senders | content       | stamp | offset | folded | slots |
      | b, c    | a promise     | 0.5   | 4      | 4      | 8     |
      | b       | a promise     | 0.5   | 4      | 4      | 2     |
      | b, c    | a promise     | 10.5  | 4      | 4      | 2     |
      | b, c    | a promise     | 0.5   | 5      | 4      | 2     |
      | b, c    | a promise     | 0.5   | 5      | 5      | 8     |
      | b       | evidence      | 0.5   | 4      | 4      | 8     |
      | b       | evidence      | 9.5   | 4      | 4      | 2     |
      | b       | evidence      | 0.5   | 5      | 4      | 2     |
      | b       | evidence      | 0.5   | 5      | 5      | 8     |

  Scenario Outline: A successor uses slots that the former holder may still use
    Given a process that has taken "m0" over at offset 5 from <holder>
    When a heartbeat of the former holder shows offset <offset>
    And <seconds> seconds pass with fresh evidence
    Then it may use <slots> slots

    Examples:
      | holder                    | offset | seconds | slots |
      | a holder that knows it    | 0      | 40.0    | 0     |
      | a holder that knows it    | 0      | 40.1    | 6     |
      | a holder that knows it    | 4      | 40.1    | 6     |
      | a holder that knows it    | 5      | 30.0    | 0     |
      | a holder that knows it    | 5      | 30.1    | 8     |
      | a holder unaware of it    | 0      | 100.0   | 0     |
      | a holder unaware of it    | 3      | 40.1    | 6     |
      | a snapshot's first holder | 0      | 100.0   | 0     |
      | a snapshot's first holder | 4      | 40.1    | 8     |

  Scenario: A process takes over a resource while its promise to the holder is valid
    Given a process that has promised a silent holder of "m0"
    Then it appends no Hold on "m0" for 10.02 seconds and one afterwards

  Scenario: A process takes over from a silent holder that may not have read its Join
    Given a process whose Join the silent holder of "m0" has not read
    Then it appends no Hold on "m0" for 60 seconds and one afterwards when the holder is replaced

  Scenario: A minion is used beyond its size because of pauses, cut links, delays or lost VMs
    When random histories of a domain are run
    Then no minion was used beyond its slots and connections
