Feature: The built file

  Scenario: The built file runs on a VM on which none of the packages that it needs is installed
    Given the built file
    When it runs "--version" without installed packages
    Then it ends with status 0 and prints "dotterelhill 0.1.0"

  Scenario: Extension modules load from the built file, although Python can't load them from an archive
    Given the built file
    When it runs "settings show --peer-secret-key x" without installed packages
    Then it ends with status 2 and prints "--peer-secret-key (DOTTERELHILL_PEER_SECRET_KEY)"
    And its directory for unpacked modules is empty

  Scenario: A command of the built file that waits for the log stays a single process
    Given the built file
    And a log that accepts connections and never answers
    When it runs "manifest show" until it has connected
    Then it is one process without children
    And its directory for unpacked modules is empty
    When the log closes the connection
    Then it ends with status 3 and prints "dotterelhill:"

  Scenario: The entry process of the built file stays a single process while the log can't be reached
    Given the built file
    And the settings of an entry process whose log can't be reached
    When it runs "entry" until it listens
    Then it is one process without children
    And its directory for unpacked modules is empty
    And its memory is below 128 MB
    When it receives SIGTERM
    Then it ends with status 0 and prints "entry process started"

  Scenario: The built file reports that no directory allows it to unpack extension modules
    Given the built file
    When it runs "settings show" where no directory can be written
    Then it ends with status 5 and prints "no writable directory"
