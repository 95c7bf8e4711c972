/** Guards against a fake weights agent that cannot start since another process, whose id is near, has its port. */
import { createSocket } from 'node:dgram'
import { createServer } from 'node:net'
import { test } from 'tap'
import { WeightsNode } from './fakes/weights-node.js'

/** Addresses that fakes of other processes share with anything else on the machine. */
const sharedIps = ['127.0.0.1', '127.0.0.2'] as const

for (const ip of sharedIps) {
  test(`fake weights agent: its port is taken at ${ip}`, async t => {
    const node = new WeightsNode()
    const server = createServer().listen(node.port, ip).on('error', () => {})
    const socket = createSocket('udp4').on('error', () => {})
    socket.bind(node.port, ip)
    t.teardown(async () => {
      server.close()
      socket.close()
      await node.stop()
    })
    await t.resolves(node.start())
  })
}
