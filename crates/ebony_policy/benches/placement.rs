//! Cost of a placement decision against the number of engines.

use criterion::{Criterion, criterion_group, criterion_main};

fn placement(criterion: &mut Criterion) {
    criterion.bench_function("placeholder", |bencher| bencher.iter(|| 1 + 1));
}

criterion_group!(benches, placement);
criterion_main!(benches);
