//! Services find each other by name, stop in order, and survive panics.

use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;

use masticarch_kernel::{error, kernel, mailbox, name, reply, runtime, task};

const ADDER: name::Name = name::Name::new("adder");
const FIRST: name::Name = name::Name::new("first");
const SECOND: name::Name = name::Name::new("second");

struct Add(u32, u32, reply::Reply<u32>);

fn kernel_with_adder() -> kernel::Kernel {
    let mut kernel = kernel::Kernel::new();
    let mut mailbox = kernel.register::<Add>(ADDER, 8).unwrap();
    kernel.start(ADDER, |_stop| async move {
        while let Some(Add(left, right, answer)) = mailbox.receive().await {
            let _ = answer.send(left + right);
        }
    });
    kernel
}

// Guards against a service that cannot be reached under its name.
#[test]
fn service_answers_under_its_name() {
    let sum = runtime::run(async {
        let kernel = kernel_with_adder();
        let adder = kernel.registry().lookup::<Add>(ADDER).unwrap();

        adder.ask(|slot| Add(2, 3, slot)).await
    });

    assert_eq!(sum.unwrap(), Ok(5));
}

// Guards against messages of one service being read as those of another.
#[test]
fn lookup_with_another_message_type_is_refused() {
    let outcome = runtime::run(async {
        let kernel = kernel_with_adder();

        kernel.registry().lookup::<String>(ADDER).err()
    });

    assert_eq!(outcome.unwrap(), Some(error::Error::Mismatch(ADDER)));
}

// Guards against a shutdown that stops a service before those that use it.
#[test]
fn services_stop_in_reverse_order() {
    let order = Rc::new(RefCell::new(Vec::new()));

    runtime::run(async {
        let mut kernel = kernel::Kernel::new();
        for service in [FIRST, SECOND] {
            let order = order.clone();
            kernel.start(service, move |stop| async move {
                stop.wait().await;
                order.borrow_mut().push(service);
            });
        }
        kernel.shutdown(Duration::from_secs(1)).await;
    })
    .unwrap();

    assert_eq!(*order.borrow(), vec![SECOND, FIRST]);
}

// Guards against one panicking connection ending the whole process.
#[test]
fn panic_in_one_task_leaves_the_others_running() {
    let sum = runtime::run(async {
        let kernel = kernel_with_adder();
        let adder = kernel.registry().lookup::<Add>(ADDER).unwrap();
        let failed = task::spawn(FIRST, async { panic!("bad connection") }).await;
        assert!(failed.is_none());

        adder.ask(|slot| Add(1, 1, slot)).await
    });

    assert_eq!(sum.unwrap(), Ok(2));
}

// Guards against tasks that share an address and, when the mailbox is full, wait
// for ever or lose a message.
#[test]
fn all_messages_of_a_shared_address_arrive() {
    const SENDERS: u32 = 20;
    let received = runtime::run(async {
        let (address, mut mailbox) = mailbox::Mailbox::new(1);
        let address = Rc::new(address);
        for number in 0..SENDERS {
            let address = Rc::clone(&address);
            monoio::spawn(async move { address.send(number).await });
        }
        drop(address);
        // Lets every sender run before the first message is taken, so that some
        // of them wait for space in the mailbox.
        monoio::time::sleep(Duration::from_millis(10)).await;
        let mut received = Vec::new();
        while let Some(number) = mailbox.receive().await {
            received.push(number);
        }
        received
    });

    let mut received = received.unwrap();
    received.sort_unstable();
    assert_eq!(received, (0..SENDERS).collect::<Vec<_>>());
}
