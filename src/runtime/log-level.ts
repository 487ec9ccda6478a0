/** How much an event matters. */
export type LogLevel = 'info' | 'warn' | 'error'
