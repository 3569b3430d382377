Feature: The built file

  Scenario: The file would need packages that the VM does not have
    Given the built file
    When it runs "--version" without installed packages
    Then it ends with status 0 and prints "dotterelhill 0.1.0"

  Scenario: Compiled modules could not be loaded from the archive
    Given the built file
    When it runs "settings show --peer-secret-key x" without installed packages
    Then it ends with status 2 and prints "--peer-secret-key (DOTTERELHILL_PEER_SECRET_KEY)"
    And its directory for unpacked modules is empty

  Scenario: The file would run as two processes
    Given the built file
    And a log that accepts connections and never answers
    When it runs "manifest show" until it has connected
    Then it is one process without children
    And its directory for unpacked modules is empty
    When the log closes the connection
    Then it ends with status 3 and prints "dotterelhill:"

  Scenario: The entry process would run as two processes
    Given the built file
    And the settings of an entry process whose log can't be reached
    When it runs "entry" until it listens
    Then it is one process without children
    And its directory for unpacked modules is empty
    And its memory is below 128 MB
    When it is told to stop
    Then it ends with status 0 and prints "entry process started"

  Scenario: A directory that forbids to map code would be an unexplained failure
    Given the built file
    When it runs "settings show" where no directory can be written
    Then it ends with status 5 and prints "no writable directory"
