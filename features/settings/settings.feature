Feature: Settings file

  Scenario: A complete settings file with comments is accepted
    Given a valid settings file
    When the settings are loaded
    Then the settings name instance "entry-1"

  Scenario: All errors of a settings file are reported at once
    # Guards against a validation that stops at the first error.
    Given a valid settings file
    And its key "listen_address" is set to 7
    And its key "drain_limit_s" is set to -1
    And its key "colour" is set to 1
    And its key "peer_key_file" is set to "/nonexistent/key"
    When the settings are loaded
    Then there are errors for "listen_address, drain_limit_s, colour, peer_key_file"

  Scenario: A key file that is too short is rejected
    # Guards against a peer key that can be guessed.
    Given a valid settings file
    And its peer key file holds "short"
    When the settings are loaded
    Then there are errors for "peer_key_file"
