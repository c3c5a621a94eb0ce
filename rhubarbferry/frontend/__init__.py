"""The frontend daemon: it accepts HTTP requests and forwards them to runners."""
