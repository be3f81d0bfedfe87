//! Generates the protobuf code in pure Rust, so that the build needs no installed `protoc`.

use std::error::Error;

fn main() -> Result<(), Box<dyn Error>> {
    println!("cargo:rerun-if-changed=proto/registry.proto");
    let described = protox::compile(["registry.proto"], ["proto"])?;
    tonic_prost_build::configure().compile_fds(described)?;
    Ok(())
}
