fn main() -> std::process::ExitCode {
    basaltloom::program::main()
}
