//! A lasting folder whose writes are slow: a small library that is loaded into the relay delays each write to its journal.

use std::path::{Path, PathBuf};
use std::process::Command;
use std::sync::OnceLock;
use std::time::Duration;

/// Delays writes to files named `relay.journal` by the milliseconds that the file named by BASALTLOOM_WRITE_DELAY holds.
const LIBRARY: &str = r#"
#define _GNU_SOURCE
#include <dlfcn.h>
#include <fcntl.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/uio.h>
#include <time.h>
#include <unistd.h>

static void wait_for(int file) {
    char link[64], path[512], text[16];
    const char *name = getenv("BASALTLOOM_WRITE_DELAY");
    if (file < 3 || !name) return;
    snprintf(link, sizeof link, "/proc/self/fd/%d", file);
    ssize_t length = readlink(link, path, sizeof path - 1);
    if (length <= 0) return;
    path[length] = 0;
    if (!strstr(path, "relay.journal")) return;
    int delay = open(name, O_RDONLY | O_CLOEXEC);
    if (delay < 0) return;
    ssize_t got = read(delay, text, sizeof text - 1);
    close(delay);
    if (got <= 0) return;
    text[got] = 0;
    long millis = atol(text);
    struct timespec time = { millis / 1000, (millis % 1000) * 1000000 };
    nanosleep(&time, 0);
}

ssize_t write(int file, const void *bytes, size_t count) {
    static ssize_t (*next)(int, const void *, size_t);
    if (!next) next = dlsym(RTLD_NEXT, "write");
    wait_for(file);
    return next(file, bytes, count);
}

ssize_t writev(int file, const struct iovec *parts, int count) {
    static ssize_t (*next)(int, const struct iovec *, int);
    if (!next) next = dlsym(RTLD_NEXT, "writev");
    wait_for(file);
    return next(file, parts, count);
}
"#;

/// The library, built once for all tests.
fn library() -> &'static Path {
    static BUILT: OnceLock<PathBuf> = OnceLock::new();
    BUILT.get_or_init(|| {
        let dir = std::env::temp_dir().join(format!("basaltloom-write-delay-{}", std::process::id()));
        std::fs::create_dir_all(&dir).unwrap();
        let (source, built) = (dir.join("delay.c"), dir.join("delay.so"));
        std::fs::write(&source, LIBRARY).unwrap();
        let status = Command::new("cc")
            .args(["-shared", "-fPIC", "-O1", "-o"])
            .args([&built, &source])
            .arg("-ldl")
            .status()
            .expect("a C compiler");
        assert!(status.success());
        built
    })
}

/// How long each write of a relay's journal takes.
pub struct SlowFolder {
    delay: PathBuf,
}

impl SlowFolder {
    pub fn new(dir: &Path) -> SlowFolder {
        let slow = SlowFolder { delay: dir.join("write-delay") };
        slow.each_write(Duration::ZERO);
        slow
    }

    /// Has a process be started with the library.
    pub fn preload<'a>(&self, command: &'a mut Command) -> &'a mut Command {
        command.env("LD_PRELOAD", library()).env("BASALTLOOM_WRITE_DELAY", &self.delay)
    }

    /// Each write takes so much longer from now on.
    pub fn each_write(&self, time: Duration) {
        let new = self.delay.with_extension("new");
        std::fs::write(&new, time.as_millis().to_string()).unwrap();
        std::fs::rename(&new, &self.delay).unwrap();
    }
}
